"""Plays written days with the test bench and reads how they went."""

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
"""The span of one window of a report."""


@dataclass(frozen=True)
class PlaySettings:
    """How days are played."""

    bench: Path
    site_path: Path
    jobs: int
    small: bool
    """Play small twins of the days of large deployments."""
    why: str
    lock: Path | None
    """A file that is locked while the bench runs, where several callers share a machine."""


@dataclass(frozen=True)
class Outcome:
    """How a day went."""

    name: str
    passed: bool
    broken: dict[str, int]
    """Rules that were broken, and how often."""
    complaints: list[str]
    """Why the gate failed, in the bench's words."""
    worth: float
    refused: float
    """The share of requests that were refused."""
    seconds_at_zero: float
    """How long no request at all was served while requests came."""

    def row(self) -> list[str]:
        """The outcome as a row of the table."""
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


class PlayError(Exception):
    """The bench gave no report."""


def play(day_path: Path, settings: PlaySettings) -> Outcome:
    """Plays one written day; its output and report stay beside the day file."""
    report_path = day_path.with_suffix(".report.json")
    report_path.unlink(missing_ok=True)
    command = bench_command(day_path, report_path, settings)
    with locked(settings.lock):
        done = subprocess.run(command, capture_output=True, text=True, check=False)
    output_path = day_path.with_suffix(".out")
    output_path.write_text(done.stdout + done.stderr)
    if not report_path.exists():
        raise PlayError(f"{day_path.stem}: no report; see {output_path}")
    return outcome_of(day_path.stem, json.loads(report_path.read_text()))


def bench_command(day_path: Path, report_path: Path, settings: PlaySettings) -> list[str]:
    """How the bench is called for a day."""
    command = [str(settings.bench), "run", str(settings.site_path), str(day_path)]
    command += ["--jobs", str(settings.jobs)]
    command += ["--report", str(report_path)]
    command += ["--why", f"{settings.why}: {day_path.stem}"]
    if settings.small:
        command.append("--small")
    return command


@contextmanager
def locked(path: Path | None) -> Iterator[None]:
    """Holds the lock of a file, if one is named."""
    if path is None:
        yield
        return
    with path.open("a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def outcome_of(name: str, report: dict[str, Any]) -> Outcome:
    """Reads a report of the bench."""
    complaints = [str(complaint) for complaint in report["short"]]
    if report["fault"]:
        complaints.append(str(report["fault"]))
    return Outcome(
        name=name,
        passed=not report["breaks"] and not complaints,
        broken=report["breaks"],
        complaints=complaints,
        worth=report["G"],
        refused=report["refused"],
        seconds_at_zero=WINDOW_S * sum(is_at_zero(window) for window in report["windows"]),
    )


def is_at_zero(window: dict[str, Any]) -> bool:
    """Whether requests came in a window and none of them was served."""
    owed = window["n"] - window["not_owed"]
    return owed > 0 and window["in_aim"] + window["late"] == 0


def table_line(cells: list[str]) -> str:
    """A line of the table of outcomes."""
    widths = [34, 7, 24, 8, 10, 6]
    return " ".join(cell.ljust(width) for cell, width in zip(cells, widths)).rstrip()
