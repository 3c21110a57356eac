"""Tests of the fault days, with a fictitious deployment and a stub of the test bench."""

import contextlib
import io
import stat
import tempfile
import tomllib
import unittest
from dataclasses import replace
from pathlib import Path

from fault_days.bench import result_of
from fault_days.catalogue import CONCERNS, fault_days
from fault_days.command_line import USAGE_ERROR, main
from fault_days.day import ClosingFault, DayEvent, FaultDay
from fault_days.day_file import day_file
from fault_days.site import Site, SiteError, read_site, site_of

SITE_PATH = Path(__file__).with_name("made_up_site.toml")

MIN_DAYS = 30

STUB_BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
arguments = sys.argv[1:]
report = pathlib.Path(arguments[arguments.index("--report") + 1])
day = pathlib.Path(arguments[2]).stem
broken = {"CONFIG": 2} if day == "core-cut-leader" else {}
window = {"n": 10, "not_owed": 0, "in_aim": 9, "late": 0}
report.write_text(json.dumps({
    "G": 0.8, "refused": 0.01, "fault": None, "short": [], "breaks": broken, "windows": [window],
}))
"""


def example_site() -> Site:
    return read_site(SITE_PATH)


def parsed(day: FaultDay, site: Site, seed: int = 1) -> dict:
    days = tomllib.loads(day_file(day, site, seed))["day"]
    assert len(days) == 1
    return days[0]


def run_command(*arguments: str) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        status = main([str(argument) for argument in arguments])
    return status, output.getvalue()


class Catalogue(unittest.TestCase):
    def test_day_names_are_unique_and_cover_every_concern(self):
        days = fault_days(example_site())
        names = [day.name for day in days]
        self.assertGreaterEqual(len(names), MIN_DAYS)
        self.assertEqual(len(names), len(set(names)))
        self.assertEqual({day.concern for day in days}, set(CONCERNS))

    def test_contract_of_the_site_adds_the_days_that_need_it(self):
        without = example_site()
        with_health = replace(without, contracts=without.contracts | {"health"})
        added = {day.name for day in fault_days(with_health)} - {day.name for day in fault_days(without)}
        self.assertEqual(added, {"flap-release"})

    def test_every_event_starts_within_the_day(self):
        site = example_site()
        for day in fault_days(site):
            for event in day.plan + day.faults:
                length_s = day.length_s or site.length_s
                self.assertTrue(0 < event.at_s < length_s, f"{day.name}: {event}")


class DayFile(unittest.TestCase):
    def test_every_day_file_has_its_traffic_length_and_events(self):
        site = example_site()
        for day in fault_days(site):
            table = parsed(day, site)
            self.assertEqual(table["name"], day.name)
            traffic = site.busy_traffic if day.is_busy else site.quiet_day["traffic"]
            self.assertEqual(table["traffic"], traffic)
            self.assertEqual(table.get("length_s"), day.length_s)
            self.assertEqual(len(table["plan"]), len(day.plan))
            self.assertEqual(len(table["faults"]), len(day.faults))
            self.assertEqual("closing" in table, day.closing is not None)

    def test_day_file_has_all_fields_of_events_and_of_the_closing_fault(self):
        event = DayEvent("core_cut", 5.0, {"count": 1, "for_s": 18.0, "how": "leader"})
        day = FaultDay("one", 1, [], [event], ClosingFault("kill_all", 1.0, "timed"), floor_share=1.2)
        table = parsed(day, example_site())
        cut = {"at": 5.0, "kind": "core_cut", "count": 1, "for_s": 18.0, "how": "leader"}
        self.assertEqual(table["faults"], [cut])
        self.assertEqual(table["closing"], {"kind": "kill_all", "down_s": 1.0, "how": "timed"})
        self.assertEqual(table["goal"], {"floor": 0.6})
        self.assertEqual(table["floor_classes"], [0.48])

    def test_day_file_is_deterministic_and_seeds_differ_by_day_and_seed(self):
        site = example_site()
        first = fault_days(site)[0]
        self.assertEqual(day_file(first, site, 7), day_file(first, site, 7))
        self.assertNotEqual(parsed(first, site, 7)["seed"], parsed(first, site, 8)["seed"])
        second = fault_days(site)[1]
        self.assertNotEqual(parsed(first, site, 7)["seed"], parsed(second, site, 7)["seed"])


class SiteFile(unittest.TestCase):
    def test_busy_traffic_is_that_of_the_high_load_day(self):
        site = example_site()
        self.assertEqual(site.busy_traffic, site.quiet_day["traffic"])
        table = tomllib.loads(SITE_PATH.read_text())
        busy = {**table["day"][0], "slot": "scale", "traffic": [{"zone": "east-1", "per_s": 99.0}]}
        with_load = site_of({**table, "day": [*table["day"], busy]})
        self.assertEqual(with_load.busy_traffic, busy["traffic"])
        self.assertEqual(with_load.quiet_day, site.quiet_day)

    def test_error_names_the_missing_field(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text('name = "no-days"\n')
            with self.assertRaisesRegex(SiteError, "length_s"):
                read_site(path)

    def test_site_without_a_quiet_day_is_rejected(self):
        text = SITE_PATH.read_text().replace('slot = "quiet"', 'slot = "scale"')
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(text)
            with self.assertRaisesRegex(SiteError, "no quiet day"):
                read_site(path)


class Report(unittest.TestCase):
    def report(self, **changed) -> dict:
        window = {"n": 10, "not_owed": 0, "in_aim": 9, "late": 0}
        report = {"G": 0.8, "refused": 0.1, "fault": None, "short": [], "breaks": {}, "windows": [window]}
        return {**report, **changed}

    def test_day_without_violations_passes(self):
        self.assertTrue(result_of("day", self.report()).passed)

    def test_day_with_a_violation_a_fault_or_a_missed_floor_fails(self):
        for changed in ({"breaks": {"DRAIN": 1}}, {"fault": "no start"}, {"short": ["0.3 of the worth"]}):
            self.assertFalse(result_of("day", self.report(**changed)).passed, changed)

    def test_windows_without_served_requests_count_as_seconds_at_zero(self):
        idle = {"n": 0, "not_owed": 0, "in_aim": 0, "late": 0}
        dark = {"n": 10, "not_owed": 0, "in_aim": 0, "late": 0}
        late = {"n": 10, "not_owed": 0, "in_aim": 0, "late": 3}
        result = result_of("day", self.report(windows=[idle, dark, late, dark]))
        self.assertEqual(result.seconds_at_zero, 4.0)


class CommandLine(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.bench = self.folder / "bench"
        self.bench.write_text(STUB_BENCH)
        self.bench.chmod(self.bench.stat().st_mode | stat.S_IXUSR)

    def test_list_prints_every_day(self):
        status, output = run_command(SITE_PATH, "--list")
        self.assertEqual(status, 0)
        for day in fault_days(example_site()):
            self.assertIn(f"   {day.name}\n", output)

    def test_day_option_writes_only_that_day(self):
        out = self.folder / "days"
        status, _ = run_command(SITE_PATH, "--out", out, "--day", "core-cut-leader")
        self.assertEqual(status, 0)
        self.assertEqual([path.name for path in out.iterdir()], ["core-cut-leader.toml"])

    def test_unknown_day_and_missing_folder_are_usage_errors(self):
        unknown = run_command(SITE_PATH, "--out", self.folder, "--day", "no-such-day")
        self.assertEqual(unknown[0], USAGE_ERROR)
        self.assertIn("no-such-day", unknown[1])
        self.assertEqual(run_command(SITE_PATH)[0], USAGE_ERROR)

    def test_table_names_the_violated_rules(self):
        names = ["--day", "core-cut-leader", "--day", "core-cut-race"]
        status, output = run_command(SITE_PATH, "--out", self.folder / "days", *names, "--play", self.bench)
        self.assertEqual(status, 1)
        self.assertRegex(output, r"core-cut-leader +FAILED +CONFIG 2")
        self.assertRegex(output, r"core-cut-race +passed +-")

    def test_stop_on_failure_runs_no_later_day(self):
        names = ["--day", "core-cut-leader", "--day", "core-cut-race", "--stop-on-failure"]
        status, output = run_command(SITE_PATH, "--out", self.folder / "days", *names, "--play", self.bench)
        self.assertEqual(status, 1)
        self.assertNotIn("core-cut-race", output)

    def test_options_are_passed_to_the_bench(self):
        self.bench.write_text('#!/bin/sh\necho "$@"\n')
        names = ["--day", "core-cut-leader", "--jobs", "3", "--why", "a try", "--small"]
        run_command(SITE_PATH, "--out", self.folder, *names, "--play", self.bench)
        called = (self.folder / "core-cut-leader.out").read_text()
        self.assertIn("--jobs 3", called)
        self.assertIn("--why a try: core-cut-leader --small", called)

    def test_day_without_a_report_fails(self):
        self.bench.write_text("#!/usr/bin/env python3\n")
        names = ["--day", "core-cut-leader"]
        status, output = run_command(SITE_PATH, "--out", self.folder / "days", *names, "--play", self.bench)
        self.assertEqual(status, 1)
        self.assertIn("no report", output)


if __name__ == "__main__":
    unittest.main()
