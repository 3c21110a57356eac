"""Runs day files with the test bench and reads the reports."""

from __future__ import annotations

import fcntl
import json
import subprocess
from contextlib import contextmanager
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

WINDOW_S = 2.0
"""The duration of one window of a report."""


@dataclass(frozen=True)
class BenchSettings:
    """How the test bench is run."""

    bench: Path
    site_path: Path
    jobs: int
    small: bool
    """Run scaled-down variants of the days of large deployments."""
    why: str
    """The reason recorded in the journal of the bench."""
    lock: Path | None
    """A file that is locked while the bench runs, for machines shared by several users."""


@dataclass(frozen=True)
class DayResult:
    """The result of a day."""

    name: str
    passed: bool
    broken: dict[str, int]
    """The violated rules, with the number of violations."""
    complaints: list[str]
    """The complaints of the bench if the day failed."""
    worth: float
    refused: float
    """The share of rejected requests."""
    seconds_at_zero: float
    """How long no request was served although requests arrived, in seconds."""

    def row(self) -> list[str]:
        """Returns the cells of the result's row in the table."""
        broken = ", ".join(f"{rule} {count}" for rule, count in self.broken.items())
        return [
            self.name,
            "passed" if self.passed else "FAILED",
            broken or "-",
            f"{self.refused:.1%}",
            f"{self.seconds_at_zero:.0f}",
            f"{self.worth:.3f}",
        ]


HEADINGS = ["day", "gate", "rules broken", "refused", "s at zero", "worth"]


class BenchError(Exception):
    """The bench did not write a report."""


def run_day(day_path: Path, settings: BenchSettings) -> DayResult:
    """Runs one day file. The output and the report are kept next to the day file."""
    report_path = day_path.with_suffix(".report.json")
    report_path.unlink(missing_ok=True)
    command = bench_command(day_path, report_path, settings)
    with locked(settings.lock):
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
    output_path = day_path.with_suffix(".out")
    output_path.write_text(completed.stdout + completed.stderr)
    if not report_path.exists():
        raise BenchError(f"{day_path.stem}: the bench wrote no report; see {output_path}")
    return result_of(day_path.stem, json.loads(report_path.read_text()))


def bench_command(day_path: Path, report_path: Path, settings: BenchSettings) -> list[str]:
    """Returns the command line of the bench for a day."""
    command = [str(settings.bench), "run", str(settings.site_path), str(day_path)]
    command += ["--jobs", str(settings.jobs)]
    command += ["--report", str(report_path)]
    command += ["--why", f"{settings.why}: {day_path.stem}"]
    if settings.small:
        command.append("--small")
    return command


@contextmanager
def locked(path: Path | None) -> Iterator[None]:
    """Holds the lock of a file, if one is given."""
    if path is None:
        yield
        return
    with path.open("a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def result_of(name: str, report: dict[str, Any]) -> DayResult:
    """Returns the result of a day from the report of the bench."""
    complaints = [str(complaint) for complaint in report["short"]]
    if report["fault"]:
        complaints.append(str(report["fault"]))
    return DayResult(
        name=name,
        passed=not report["breaks"] and not complaints,
        broken=report["breaks"],
        complaints=complaints,
        worth=report["G"],
        refused=report["refused"],
        seconds_at_zero=WINDOW_S * sum(has_no_served_request(window) for window in report["windows"]),
    )


def has_no_served_request(window: dict[str, Any]) -> bool:
    """Returns whether requests arrived in a window and none of them was served."""
    owed = window["n"] - window["not_owed"]
    return owed > 0 and window["in_aim"] + window["late"] == 0


def format_row(cells: list[str]) -> str:
    """Returns a line of the table of results."""
    widths = [34, 7, 24, 8, 10, 6]
    return " ".join(cell.ljust(width) for cell, width in zip(cells, widths)).rstrip()
