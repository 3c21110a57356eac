"""The catalogue of days of control faults."""

from __future__ import annotations

from collections.abc import Callable

from .day import Closing, FaultDay, FieldValue, Trouble
from .site import Site

POINTS = {
    1: "a core machine that is cut off or frozen serves and confirms nothing by itself",
    2: "one version is confirmed for one operator, and a repeated order is acknowledged again",
    3: "members are replaced and wiped without losing the majority or the only copy",
    4: "hundreds of changes: a member that was away catches up",
    5: "answers reach their callers, and nothing that may not be repeated is sent twice",
    6: "long days: followers keep up with hundreds of changes, whatever else their links carry",
}

CHANGE_VARIANTS = ["timeout", "weights", "idle", "route"]
"""The variants of a configuration change, used by turns."""

LONG_CUT_S = 18.0
"""Longer than any lease and than every bound on an answer."""

LONG_DAY_S = 90.0
"""Three times as long as the deployments' own days."""

FLOOR_OF_LONG_DAYS = 0.5
"""Of the quiet day's floor: they have the traffic of high load, and wide faults."""

FLOOR_OF_CONTROL_FAULTS = 1.2
"""Of the quiet day's floor: faults of the control side alone need cost requests little."""

FLOOR_OF_WIDE_FAULTS = 0.8
"""Of the quiet day's floor, where proxies or whole zones go down with their requests."""


def trouble(kind: str, at_s: float, **fields: FieldValue) -> Trouble:
    """A trouble of a kind; `fields` are the entry's other fields."""
    return Trouble(kind, at_s, fields)


def changes(first_s: float, last_s: float, gap_s: float) -> list[Trouble]:
    """Configuration changes at a steady pace."""
    steps = int((last_s - first_s) / gap_s) + 1
    return [
        trouble(
            "config_change",
            first_s + step * gap_s,
            how=CHANGE_VARIANTS[step % len(CHANGE_VARIANTS)],
        )
        for step in range(steps)
    ]


def steady_changes(site: Site) -> list[Trouble]:
    """A change every 0.8 s for the whole day."""
    return changes(1.0, site.length_s - 2.0, 0.8)


def evacuations(site: Site, at_s: list[float], for_s: float) -> list[Trouble]:
    """Zones without a core machine evacuated one after the other."""
    zones = site.outer_zones()
    return [
        trouble("evacuate", start_s, for_s=for_s, zone=zones[place % len(zones)])
        for place, start_s in enumerate(at_s)
    ]


def leaving_instances(at_s: float) -> list[Trouble]:
    """Instances that drain and leave, and others that are replaced one by one."""
    return [
        trouble("scale_in", at_s, share=0.12),
        trouble("release", at_s + 1.0, share=0.3, x=1.0, gap_s=0.8),
    ]


def core_cut(at_s: float, for_s: float, how: str = "leader") -> Trouble:
    """One core machine cut off from the other core machines and from nobody else."""
    return trouble("core_cut", at_s, count=1, for_s=for_s, how=how)


def core_freeze(at_s: float, for_s: float, how: str = "leader") -> Trouble:
    """One core machine that stands still."""
    return trouble("node_freeze", at_s, on="core", count=1, for_s=for_s, how=how)


def core_kill(at_s: float, for_s: float, how: str) -> Trouble:
    """One core machine killed, and down for a while."""
    return trouble("node_kill", at_s, on="core", count=1, for_s=for_s, how=how)


def core_cut_days(site: Site) -> list[FaultDay]:
    """A core machine cut off from the others in every variant, and what may go on beside it."""
    steady = steady_changes(site)
    evacuation = evacuations(site, [9.0], 8.0)
    races = [trouble("config_race", 3.0, count=14, gap_s=1.5)]
    long_cut = [core_cut(5.0, LONG_CUT_S)]

    def day(name: str, plan: list[Trouble], faults: list[Trouble]) -> FaultDay:
        return FaultDay(name, 1, plan, faults, floor_share=FLOOR_OF_CONTROL_FAULTS)

    return [
        day("core-cut", steady, [core_cut(5.0, LONG_CUT_S, how="")]),
        day("core-cut-leader", steady, long_cut),
        day("core-cut-evacuate", steady + evacuation, long_cut),
        day("core-cut-race", races, long_cut),
        day("core-cut-short-race", races, [core_cut(5.0, 9.0)]),
        day("core-cut-one-way", steady + evacuation, [core_cut(5.0, LONG_CUT_S, "leader one_way")]),
        day("core-cut-seeds", steady, [core_cut(5.0, LONG_CUT_S, "leader seeds")]),
        day("core-cut-both", steady, [core_cut(5.0, LONG_CUT_S, "leader both")]),
        day("core-cut-reset", steady + evacuation, [core_cut(5.0, LONG_CUT_S, "leader reset")]),
        day("core-cut-refuse", races + evacuation, [core_cut(5.0, LONG_CUT_S, "leader refuse")]),
        day("core-cut-drains", leaving_instances(6.0) + leaving_instances(14.0), long_cut),
        day("core-cut-again", steady, [core_cut(4.0, 6.0), core_cut(15.0, 6.0), core_cut(24.0, 4.0)]),
        day("core-cut-clocks", steady, [*long_cut, trouble("clock_step", 8.0, share=0.4, for_s=8.0)]),
    ]


def freeze_days(site: Site) -> list[FaultDay]:
    """Core machines that stand still, and zones or nodes that are cut off, while orders are under way."""
    fast = changes(2.0, 24.0, 0.4)
    many_evacuations = evacuations(site, [4.8, 7.0, 12.8, 16.0], 3.0)
    freezes = [core_freeze(5.0, 3.0), core_freeze(13.0, 4.0), core_freeze(20.0, 2.0)]
    core_zone = site.core_zones[0]
    lost_acks = [trouble("ack_lost", 3.0, x=0.7, for_s=22.0)]

    def day(name: str, plan: list[Trouble], faults: list[Trouble]) -> FaultDay:
        return FaultDay(name, 1, plan, faults, floor_share=FLOOR_OF_CONTROL_FAULTS)

    return [
        day("freeze-leader-changes", fast, freezes),
        day("freeze-leader-evacuate", many_evacuations, freezes),
        day("freeze-leader-evacuate-ack-lost", many_evacuations, freezes + lost_acks),
        day("freeze-core-drains", leaving_instances(4.5) + leaving_instances(12.5), freezes),
        day("node-cut-drains", leaving_instances(6.0) + fast, [trouble("node_cut", 6.0, share=0.2, for_s=9.0)]),
        day("servers-cut-drains", leaving_instances(7.0), [trouble("node_cut", 6.0, share=0.15, for_s=5.0, how="servers")]),
        day("core-zone-cut", fast, [trouble("zone_cut", 6.0, zone=core_zone, for_s=8.0)]),
    ]


def race_days(site: Site) -> list[FaultDay]:
    """Two changes on one version while acknowledgements are lost or their writers fall silent."""
    races = [trouble("config_race", 2.0, count=16, gap_s=1.5)]
    lost_acks = [trouble("ack_lost", 2.0, x=0.7, for_s=24.0)]
    freezes = [core_freeze(6.0, 3.0), core_freeze(15.0, 3.0)]
    kills = [trouble("after_ack_kill", at_s, for_s=2.5) for at_s in (6.0, 14.0)]
    timed = [trouble("after_ack_kill", at_s, for_s=2.5, how="timed") for at_s in (6.0, 14.0)]

    def day(name: str, faults: list[Trouble], closing: Closing | None = None) -> FaultDay:
        return FaultDay(name, 2, races, faults, closing, FLOOR_OF_CONTROL_FAULTS)

    return [
        day("race-ack-lost", lost_acks),
        day("race-ack-lost-cut", [*lost_acks, core_cut(6.0, 9.0)]),
        day("race-ack-lost-one-way", [*lost_acks, core_cut(6.0, 9.0, "leader one_way")]),
        day("race-ack-lost-freeze", lost_acks + freezes),
        day("race-ack-lost-kill", lost_acks + kills),
        day("race-kill-timed", lost_acks + timed),
        day("race-ack-lost-closing", lost_acks, Closing("kill_all", 1.0, "timed")),
    ]


def membership_days(site: Site) -> list[FaultDay]:
    """Replacements and wipes, and a second loss at any moment of the repair."""
    steady = steady_changes(site)
    replaced = trouble("replace_core", 6.0, x=1.0, how="leader")
    planned = trouble("replace_core", 6.0, x=1.0, how="planned")
    wiped = trouble("after_ack_wipe", 6.0, for_s=1.5)
    core_zone = site.core_zones[-1]

    def day(name: str, faults: list[Trouble], closing: Closing | None = None) -> FaultDay:
        floor_share = FLOOR_OF_WIDE_FAULTS if closing else FLOOR_OF_CONTROL_FAULTS
        return FaultDay(name, 3, steady, faults, closing, floor_share)

    return [
        day("replace-cut", [replaced, core_cut(6.5, 6.0)]),
        day("replace-planned-cut", [planned, core_cut(6.2, 6.0)]),
        day("replace-wipe", [replaced, trouble("after_ack_wipe", 7.0, for_s=1.5)]),
        day("replace-planned-wipe", [planned, trouble("after_ack_wipe", 6.5, for_s=1.5)]),
        day("wipe-wipe", [wiped, trouble("after_ack_wipe", 7.0, for_s=1.0), trouble("after_ack_wipe", 20.0, for_s=1.0, how="timed")]),
        day("wipe-kill", [wiped, trouble("after_ack_kill", 7.0, for_s=2.0), trouble("after_ack_kill", 18.0, for_s=2.0, how="timed")]),
        day("wipe-cut", [wiped, core_cut(7.0, 8.0)]),
        day("replace-replace", [replaced, trouble("replace_core", 7.0, x=0.5, how="leader"), trouble("replace_core", 20.0, how="planned leader")]),
        day("replace-freeze", [planned, core_freeze(6.3, 3.0, ""), core_freeze(16.0, 3.0)]),
        day("zone-loss-kill", [trouble("zone_loss", 5.0, zone=core_zone, for_s=4.0), trouble("after_ack_kill", 9.5, for_s=3.0)]),
        day("core-roll", [trouble("roll_term", 5.0, on="core", share=1.0, x=1.0, gap_s=1.5), core_cut(16.0, 6.0)]),
        day("replace-closing-wipe", [trouble("replace_core", site.length_s - 9.0, x=1.0, how="leader")], Closing("wipe_after_ack", 1.5, "aimed")),
        day("wipe-closing-wipe", [trouble("after_ack_wipe", site.length_s - 10.0, for_s=1.5)], Closing("wipe_after_ack", 1.5, "timed")),
    ]


def catch_up_days(site: Site) -> list[FaultDay]:
    """Hundreds of changes while a core machine is away, wiped or has a bad disk."""
    hundreds = changes(2.0, 24.0, 0.1)
    many = changes(2.0, 26.0, 0.3)
    large = [trouble("big_config", at_s, count=300) for at_s in (3.0, 8.0, 13.0)]
    away = core_kill(3.0, 14.0, "power")
    evacuation = evacuations(site, [8.0], 8.0)

    def day(name: str, plan: list[Trouble], faults: list[Trouble]) -> FaultDay:
        return FaultDay(name, 4, plan, faults, floor_share=FLOOR_OF_CONTROL_FAULTS)

    return [
        day("hundreds-core-down", hundreds, [away]),
        day("hundreds-leader-down", hundreds, [core_kill(3.0, 14.0, "power leader")]),
        day("hundreds-wipe", hundreds, [trouble("after_ack_wipe", 12.0, for_s=3.0)]),
        day("hundreds-replace", hundreds, [trouble("replace_core", 12.0, x=2.0, how="leader")]),
        day("hundreds-cut", hundreds, [core_cut(4.0, 14.0)]),
        day("hundreds-down-then-kill", hundreds, [away, trouble("after_ack_kill", 18.0, for_s=3.0)]),
        day("large-core-down", large + many, [away, trouble("replace_core", 21.0, x=0.5)]),
        day("disk-full-changes", many + evacuation, [trouble("disk_full", 5.0, count=1, for_s=10.0, how="leader")]),
        day("disk-stall-changes", many + evacuation, [trouble("disk_stall", 5.0, count=1, for_s=8.0, how="leader")]),
        day("disk-slow-changes", many + evacuation, [trouble("disk_slow", 5.0, count=1, x=60.0, for_s=12.0, how="leader")]),
    ]


def caller_days(site: Site) -> list[FaultDay]:
    """Broken, lost and late answers while instances, proxies and settings change."""
    plan = [
        trouble("release", 5.0, share=0.45, x=1.0, gap_s=0.8),
        trouble("hup", 8.0, share=0.6, gap_s=6.0),
        *changes(3.0, 27.0, 2.0),
    ]
    busy_roll = [trouble("roll_term", 6.0, share=0.5, x=1.0, gap_s=1.0, how="busy")]
    service = site.services[0]
    lost_answers = trouble("answer_lost", 6.0, service=service, share=0.6, x=0.05, for_s=12.0, how="reset")
    garbled = trouble("garble", 7.0, service=service, share=0.6, x=0.04, for_s=12.0, how="extra late")

    def day(name: str, work: list[Trouble], faults: list[Trouble]) -> FaultDay:
        return FaultDay(name, 5, work, faults, floor_share=FLOOR_OF_WIDE_FAULTS)

    return [
        day("resets-release", plan, [trouble("reset_conns", at_s, share=0.4, x=0.6) for at_s in (6.0, 10.0, 16.0)]),
        day("answers-lost-release", plan, [lost_answers]),
        day("garble-release", plan, [garbled]),
        day("garble-roll", busy_roll, [garbled, lost_answers]),
        day("idle-race-release", plan, [trouble("idle_race", 5.0, share=0.6, x=250.0, for_s=14.0)]),
        day("flap-release", plan, [trouble("srv_flap", 6.0, share=0.15, gap_s=0.9, for_s=10.0), garbled]),
        day("seeds-hup", plan, [trouble("seed_turnover", 4.0), core_cut(9.0, 8.0, "leader seeds")]),
        day("freeze-proxies", busy_roll, [trouble("node_freeze", 8.0, share=0.25, for_s=2.0), lost_answers]),
        day("reuse-freeze", plan, [trouble("replace_with_reuse", 7.0, share=0.2, how="dark"), trouble("node_freeze", 7.5, share=0.25, for_s=3.0)]),
    ]


def closing_days(site: Site) -> list[FaultDay]:
    """Days that end with a fault of all machines or of as many disks as may be lost."""
    steady = steady_changes(site) + evacuations(site, [site.length_s - 6.0], 20.0)
    herd = [trouble("herd_kill", 9.0, on="core", for_s=1.0, how="power")]
    herd_taken = [trouble("herd_kill", 9.0, on="core", for_s=1.0, how="taken")]
    late_cut = [core_cut(site.length_s - 9.0, 6.0)]

    def day(name: str, faults: list[Trouble], closing: Closing) -> FaultDay:
        return FaultDay(name, 3, steady, faults, closing, FLOOR_OF_WIDE_FAULTS)

    return [
        day("closing-wipe-timed", herd, Closing("wipe_after_ack", 1.2, "timed")),
        day("closing-wipe-taken", herd_taken, Closing("wipe_after_ack", 1.2, "taken")),
        day("closing-wipe-cut", late_cut, Closing("wipe_after_ack", 1.2)),
        day("closing-power-timed", herd_taken, Closing("power_off_all", 0.8, "timed")),
        day("closing-power-cut", late_cut, Closing("power_off_all", 0.8)),
        day("closing-kill-taken", herd, Closing("kill_all", 0.8, "taken")),
    ]


def long_days(_site: Site) -> list[FaultDay]:
    """Hundreds of changes over a long day of high load, and a burst of those that had to wait."""
    burst = changes(35.5, 38.0, 0.025)
    hundreds = changes(2.0, LONG_DAY_S - 2.0, 0.1) + burst
    power_loss = trouble("node_kill", 30.0, on="core", count=1, for_s=5.0, how="power leader")
    kills = [trouble("node_kill", at_s, on="core", count=1) for at_s in (46.0, 58.0)]
    all_killed = trouble("herd_kill", 70.0, on="core", share=1.0)
    core_kills = [power_loss, *kills, all_killed]
    zones_lost = [trouble("zone_loss", at_s, for_s=5.0) for at_s in (28.0, 58.0)]
    proxies_lost = trouble("node_kill", 44.0, share=0.16, for_s=3.0, how="power")
    core_cuts = [core_cut(at_s, 8.0) for at_s in (20.0, 45.0, 65.0)]
    bursts = [trouble("burst", at_s, x=1.7, for_s=4.0) for at_s in (33.0, 52.0, 72.0)]

    def day(name: str, faults: list[Trouble], closing: Closing | None = None) -> FaultDay:
        return FaultDay(
            name,
            6,
            hundreds,
            faults,
            closing,
            FLOOR_OF_LONG_DAYS,
            LONG_DAY_S,
            is_busy=True,
        )

    return [
        day("long-core-kills", core_kills),
        day("long-power-off", core_kills, Closing("power_off_all", 1.2)),
        day("long-zone-losses", [*zones_lost, proxies_lost], Closing("kill_all", 1.0)),
        day("long-core-cuts", core_cuts, Closing("wipe_after_ack", 1.2)),
        day("long-bursts", [*bursts, power_loss], Closing("power_off_all", 1.0, "timed")),
    ]


GROUPS: list[Callable[[Site], list[FaultDay]]] = [
    core_cut_days,
    freeze_days,
    race_days,
    membership_days,
    catch_up_days,
    caller_days,
    closing_days,
    long_days,
]


def fault_days(site: Site) -> list[FaultDay]:
    """All days whose kinds of trouble the site knows."""
    days = [day for group in GROUPS for day in group(site)]
    return [day for day in days if all(site.allows(kind) for kind in day.kinds())]
