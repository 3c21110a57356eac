"""The command line of `fault-days`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .catalogue import POINTS, fault_days
from .day import FaultDay
from .day_file import day_file
from .playing import HEADINGS, Outcome, PlayError, PlaySettings, play, table_line
from .site import Site, SiteError, read_site

USAGE_ERROR = 2


def main(arguments: list[str] | None = None) -> int:
    """Runs the command; gives its exit status."""
    options = parser().parse_args(arguments)
    try:
        site = read_site(options.site)
        days = chosen_days(fault_days(site), options.day)
    except SiteError as error:
        print(f"fault-days: {error}", file=sys.stderr)
        return USAGE_ERROR
    if options.list:
        print_names(days)
        return 0
    if options.out is None:
        print("fault-days: --out names the folder for the day files", file=sys.stderr)
        return USAGE_ERROR
    paths = write_days(days, site, options.seed, options.out)
    if options.play is None:
        return 0
    settings = PlaySettings(
        bench=options.play,
        site_path=options.site,
        jobs=options.jobs,
        small=options.small,
        why=options.why,
        lock=options.lock,
    )
    return play_days(paths, settings, options.stop_on_failure)


def parser() -> argparse.ArgumentParser:
    """The options of the command."""
    made = argparse.ArgumentParser(
        prog="fault-days",
        description="Writes days of control faults for a deployment, and plays them.",
    )
    made.add_argument("site", type=Path, help="the site file of the deployment")
    made.add_argument("--list", action="store_true", help="only list the days' names")
    made.add_argument("--out", type=Path, help="the folder that the day files are written to")
    made.add_argument("--day", action="append", help="only this day (may be given again); default: all")
    made.add_argument("--seed", type=int, default=1, help="what the days' luck is drawn from")
    made.add_argument("--play", type=Path, metavar="BENCH", help="play the days with this test bench")
    made.add_argument("--jobs", type=int, default=4, help="processor cores that the bench may use")
    made.add_argument("--small", action="store_true", help="play small twins of large days")
    made.add_argument("--why", default="days of control faults", help="the reason noted in the journal")
    made.add_argument("--lock", type=Path, help="a file to lock while the bench runs")
    made.add_argument("--stop-on-failure", action="store_true", help="play no more after a failed day")
    return made


def chosen_days(days: list[FaultDay], names: list[str] | None) -> list[FaultDay]:
    """The days of these names, or all."""
    if not names:
        return days
    known = {day.name: day for day in days}
    missing = [name for name in names if name not in known]
    if missing:
        raise SiteError(f"no such day for this site: {', '.join(missing)}")
    return [known[name] for name in names]


def print_names(days: list[FaultDay]) -> None:
    """Lists the days under the point that each is about."""
    for point, concern in POINTS.items():
        print(f"{point}. {concern}")
        for day in days:
            if day.point == point:
                print(f"   {day.name}")


def write_days(days: list[FaultDay], site: Site, seed: int, folder: Path) -> list[Path]:
    """Writes one file for each day; gives their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for day in days:
        path = folder / f"{day.name}.toml"
        path.write_text(day_file(day, site, seed))
        paths.append(path)
    return paths


def play_days(paths: list[Path], settings: PlaySettings, stop_on_failure: bool) -> int:
    """Plays days one after the other and prints a table; gives the exit status."""
    print(table_line(HEADINGS), flush=True)
    all_passed = True
    for path in paths:
        passed = play_and_print(path, settings)
        all_passed = all_passed and passed
        if stop_on_failure and not passed:
            break
    return 0 if all_passed else 1


def play_and_print(path: Path, settings: PlaySettings) -> bool:
    """Plays a day and prints its row; tells whether it passed."""
    try:
        outcome = play(path, settings)
    except PlayError as error:
        print(f"fault-days: {error}", flush=True)
        return False
    print_outcome(outcome)
    return outcome.passed


def print_outcome(outcome: Outcome) -> None:
    """Prints a row of the table, and below it why the gate failed."""
    print(table_line(outcome.row()), flush=True)
    for complaint in outcome.complaints:
        print(f"    {complaint}", flush=True)
