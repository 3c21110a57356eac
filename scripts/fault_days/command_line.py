"""The command line of `fault-days`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .bench import HEADINGS, BenchError, BenchSettings, DayResult, format_row, run_day
from .catalogue import CONCERNS, fault_days
from .day import FaultDay
from .day_file import day_file
from .site import Site, SiteError, read_site

USAGE_ERROR = 2


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    options = build_parser().parse_args(arguments)
    try:
        site = read_site(options.site)
        days = select_days(fault_days(site), options.day)
    except SiteError as error:
        print(f"fault-days: {error}", file=sys.stderr)
        return USAGE_ERROR
    if options.list:
        print_names(days)
        return 0
    if options.out is None:
        print("fault-days: --out is missing: give the folder for the day files", file=sys.stderr)
        return USAGE_ERROR
    paths = write_days(days, site, options.seed, options.out)
    if options.play is None:
        return 0
    settings = BenchSettings(
        bench=options.play,
        site_path=options.site,
        jobs=options.jobs,
        small=options.small,
        why=options.why,
        lock=options.lock,
    )
    return run_days(paths, settings, options.stop_on_failure)


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="fault-days",
        description="Generates fault days for the control plane of a deployment, and runs them.",
    )
    parser.add_argument("site", type=Path, help="site file of the deployment")
    parser.add_argument("--list", action="store_true", help="only list the names of the days")
    parser.add_argument("--out", type=Path, help="folder for the day files")
    parser.add_argument("--day", action="append", help="only this day; may be repeated; default: all days")
    parser.add_argument("--seed", type=int, default=1, help="seed for the random choices of the days")
    parser.add_argument("--play", type=Path, metavar="BENCH", help="run the days with this test bench")
    parser.add_argument("--jobs", type=int, default=4, help="number of processor cores that the bench may use")
    parser.add_argument("--small", action="store_true", help="run scaled-down variants of large days")
    parser.add_argument("--why", default="days of control faults", help="reason recorded in the journal")
    parser.add_argument("--lock", type=Path, help="file to lock while the bench runs")
    parser.add_argument("--stop-on-failure", action="store_true", help="stop after the first failed day")
    return parser


def select_days(days: list[FaultDay], names: list[str] | None) -> list[FaultDay]:
    """Returns the days with these names, or all days."""
    if not names:
        return days
    known = {day.name: day for day in days}
    missing = [name for name in names if name not in known]
    if missing:
        raise SiteError(f"no such day for this site: {', '.join(missing)}")
    return [known[name] for name in names]


def print_names(days: list[FaultDay]) -> None:
    """Prints the names of the days, grouped by concern."""
    for number, description in CONCERNS.items():
        print(f"{number}. {description}")
        for day in days:
            if day.concern == number:
                print(f"   {day.name}")


def write_days(days: list[FaultDay], site: Site, seed: int, folder: Path) -> list[Path]:
    """Writes a file for each day and returns the paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for day in days:
        path = folder / f"{day.name}.toml"
        path.write_text(day_file(day, site, seed))
        paths.append(path)
    return paths


def run_days(paths: list[Path], settings: BenchSettings, stop_on_failure: bool) -> int:
    """Runs days one after the other, prints a table of results, and returns the exit status."""
    print(format_row(HEADINGS), flush=True)
    all_passed = True
    for path in paths:
        passed = run_and_print(path, settings)
        all_passed = all_passed and passed
        if stop_on_failure and not passed:
            break
    return 0 if all_passed else 1


def run_and_print(path: Path, settings: BenchSettings) -> bool:
    """Runs a day, prints its row, and returns whether it passed."""
    try:
        result = run_day(path, settings)
    except BenchError as error:
        print(f"fault-days: {error}", flush=True)
        return False
    print_result(result)
    return result.passed


def print_result(result: DayResult) -> None:
    """Prints a row of the table, followed by the complaints of the bench."""
    print(format_row(result.row()), flush=True)
    for complaint in result.complaints:
        print(f"    {complaint}", flush=True)
