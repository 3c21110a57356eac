"""The catalogue of fault days for the control plane."""

from __future__ import annotations

from collections.abc import Callable

from .day import ClosingFault, DayEvent, FaultDay, FieldValue
from .site import Site

CONCERNS = {
    1: "a partitioned or suspended core machine does not serve or confirm anything alone",
    2: "a version is confirmed to one operator only, and a repeated change is acknowledged again",
    3: "members are replaced and wiped without losing the majority or the last replica",
    4: "a member that was down catches up with hundreds of changes",
    5: "responses reach their clients, and requests that are not idempotent are not sent twice",
    6: "long days: followers keep up with hundreds of changes under other load on their links",
}

CHANGE_VARIANTS = ["timeout", "weights", "idle", "route"]
"""The variants of a configuration change, used in rotation."""

LONG_PARTITION_S = 18.0
"""Longer than any lease and any response deadline."""

LONG_DAY_S = 90.0
"""Three times the length of the standard days of the deployments."""

LONG_DAY_FLOOR_SHARE = 0.5
"""Share of the quiet day's floor. Long days combine high load with faults of many machines."""

CONTROL_FAULT_FLOOR_SHARE = 1.2
"""Share of the quiet day's floor. Faults of the control plane alone should affect few requests."""

WIDE_FAULT_FLOOR_SHARE = 0.8
"""Share of the quiet day's floor on days on which proxies or entire zones fail with their requests."""


def event(kind: str, at_s: float, **fields: FieldValue) -> DayEvent:
    """Returns an event; `fields` are the other fields of its entry in the day file."""
    return DayEvent(kind, at_s, fields)


def changes(first_s: float, last_s: float, interval_s: float) -> list[DayEvent]:
    """Returns configuration changes at a constant rate."""
    steps = int((last_s - first_s) / interval_s) + 1
    return [
        event(
            "config_change",
            first_s + step * interval_s,
            how=CHANGE_VARIANTS[step % len(CHANGE_VARIANTS)],
        )
        for step in range(steps)
    ]


def steady_changes(site: Site) -> list[DayEvent]:
    """Returns a change every 0.8 s throughout the day."""
    return changes(1.0, site.length_s - 2.0, 0.8)


def evacuations(site: Site, at_s: list[float], for_s: float) -> list[DayEvent]:
    """Returns evacuations of the zones without a core machine, in rotation."""
    zones = site.outer_zones()
    return [
        event("evacuate", start_s, for_s=for_s, zone=zones[index % len(zones)])
        for index, start_s in enumerate(at_s)
    ]


def leaving_instances(at_s: float) -> list[DayEvent]:
    """Returns events in which instances drain and leave, and others are replaced one by one."""
    return [
        event("scale_in", at_s, share=0.12),
        event("release", at_s + 1.0, share=0.3, x=1.0, gap_s=0.8),
    ]


def core_cut(at_s: float, for_s: float, how: str = "leader") -> DayEvent:
    """Returns a partition of one core machine from the other core machines only."""
    return event("core_cut", at_s, count=1, for_s=for_s, how=how)


def core_freeze(at_s: float, for_s: float, how: str = "leader") -> DayEvent:
    """Returns a suspension of one core machine."""
    return event("node_freeze", at_s, on="core", count=1, for_s=for_s, how=how)


def core_kill(at_s: float, for_s: float, how: str) -> DayEvent:
    """Returns a kill of one core machine, which stays down for `for_s` seconds."""
    return event("node_kill", at_s, on="core", count=1, for_s=for_s, how=how)


def core_cut_days(site: Site) -> list[FaultDay]:
    """All variants of a partition of one core machine, combined with other operations."""
    steady = steady_changes(site)
    evacuation = evacuations(site, [9.0], 8.0)
    races = [event("config_race", 3.0, count=14, gap_s=1.5)]
    long_cut = [core_cut(5.0, LONG_PARTITION_S)]

    def day(name: str, plan: list[DayEvent], faults: list[DayEvent]) -> FaultDay:
        return FaultDay(name, 1, plan, faults, floor_share=CONTROL_FAULT_FLOOR_SHARE)

    return [
        day("core-cut", steady, [core_cut(5.0, LONG_PARTITION_S, how="")]),
        day("core-cut-leader", steady, long_cut),
        day("core-cut-evacuate", steady + evacuation, long_cut),
        day("core-cut-race", races, long_cut),
        day("core-cut-short-race", races, [core_cut(5.0, 9.0)]),
        day("core-cut-one-way", steady + evacuation, [core_cut(5.0, LONG_PARTITION_S, "leader one_way")]),
        day("core-cut-seeds", steady, [core_cut(5.0, LONG_PARTITION_S, "leader seeds")]),
        day("core-cut-both", steady, [core_cut(5.0, LONG_PARTITION_S, "leader both")]),
        day("core-cut-reset", steady + evacuation, [core_cut(5.0, LONG_PARTITION_S, "leader reset")]),
        day("core-cut-refuse", races + evacuation, [core_cut(5.0, LONG_PARTITION_S, "leader refuse")]),
        day("core-cut-drains", leaving_instances(6.0) + leaving_instances(14.0), long_cut),
        day("core-cut-again", steady, [core_cut(4.0, 6.0), core_cut(15.0, 6.0), core_cut(24.0, 4.0)]),
        day("core-cut-clocks", steady, [*long_cut, event("clock_step", 8.0, share=0.4, for_s=8.0)]),
    ]


def freeze_days(site: Site) -> list[FaultDay]:
    """Suspended core machines, and partitioned zones or nodes, during configuration changes."""
    fast = changes(2.0, 24.0, 0.4)
    many_evacuations = evacuations(site, [4.8, 7.0, 12.8, 16.0], 3.0)
    freezes = [core_freeze(5.0, 3.0), core_freeze(13.0, 4.0), core_freeze(20.0, 2.0)]
    core_zone = site.core_zones[0]
    lost_acks = [event("ack_lost", 3.0, x=0.7, for_s=22.0)]

    def day(name: str, plan: list[DayEvent], faults: list[DayEvent]) -> FaultDay:
        return FaultDay(name, 1, plan, faults, floor_share=CONTROL_FAULT_FLOOR_SHARE)

    return [
        day("freeze-leader-changes", fast, freezes),
        day("freeze-leader-evacuate", many_evacuations, freezes),
        day("freeze-leader-evacuate-ack-lost", many_evacuations, freezes + lost_acks),
        day("freeze-core-drains", leaving_instances(4.5) + leaving_instances(12.5), freezes),
        day("node-cut-drains", leaving_instances(6.0) + fast, [event("node_cut", 6.0, share=0.2, for_s=9.0)]),
        day("servers-cut-drains", leaving_instances(7.0), [event("node_cut", 6.0, share=0.15, for_s=5.0, how="servers")]),
        day("core-zone-cut", fast, [event("zone_cut", 6.0, zone=core_zone, for_s=8.0)]),
    ]


def race_days(site: Site) -> list[FaultDay]:
    """Two changes to the same version while acknowledgements are lost or the controllers fail."""
    races = [event("config_race", 2.0, count=16, gap_s=1.5)]
    lost_acks = [event("ack_lost", 2.0, x=0.7, for_s=24.0)]
    freezes = [core_freeze(6.0, 3.0), core_freeze(15.0, 3.0)]
    kills = [event("after_ack_kill", at_s, for_s=2.5) for at_s in (6.0, 14.0)]
    timed = [event("after_ack_kill", at_s, for_s=2.5, how="timed") for at_s in (6.0, 14.0)]

    def day(name: str, faults: list[DayEvent], closing: ClosingFault | None = None) -> FaultDay:
        return FaultDay(name, 2, races, faults, closing, CONTROL_FAULT_FLOOR_SHARE)

    return [
        day("race-ack-lost", lost_acks),
        day("race-ack-lost-cut", [*lost_acks, core_cut(6.0, 9.0)]),
        day("race-ack-lost-one-way", [*lost_acks, core_cut(6.0, 9.0, "leader one_way")]),
        day("race-ack-lost-freeze", lost_acks + freezes),
        day("race-ack-lost-kill", lost_acks + kills),
        day("race-kill-timed", lost_acks + timed),
        day("race-ack-lost-closing", lost_acks, ClosingFault("kill_all", 1.0, "timed")),
    ]


def membership_days(site: Site) -> list[FaultDay]:
    """Replaced and wiped members, with a second failure at different moments of the recovery."""
    steady = steady_changes(site)
    replaced = event("replace_core", 6.0, x=1.0, how="leader")
    planned = event("replace_core", 6.0, x=1.0, how="planned")
    wiped = event("after_ack_wipe", 6.0, for_s=1.5)
    core_zone = site.core_zones[-1]

    def day(name: str, faults: list[DayEvent], closing: ClosingFault | None = None) -> FaultDay:
        floor_share = WIDE_FAULT_FLOOR_SHARE if closing else CONTROL_FAULT_FLOOR_SHARE
        return FaultDay(name, 3, steady, faults, closing, floor_share)

    return [
        day("replace-cut", [replaced, core_cut(6.5, 6.0)]),
        day("replace-planned-cut", [planned, core_cut(6.2, 6.0)]),
        day("replace-wipe", [replaced, event("after_ack_wipe", 7.0, for_s=1.5)]),
        day("replace-planned-wipe", [planned, event("after_ack_wipe", 6.5, for_s=1.5)]),
        day("wipe-wipe", [wiped, event("after_ack_wipe", 7.0, for_s=1.0), event("after_ack_wipe", 20.0, for_s=1.0, how="timed")]),
        day("wipe-kill", [wiped, event("after_ack_kill", 7.0, for_s=2.0), event("after_ack_kill", 18.0, for_s=2.0, how="timed")]),
        day("wipe-cut", [wiped, core_cut(7.0, 8.0)]),
        day("replace-replace", [replaced, event("replace_core", 7.0, x=0.5, how="leader"), event("replace_core", 20.0, how="planned leader")]),
        day("replace-freeze", [planned, core_freeze(6.3, 3.0, ""), core_freeze(16.0, 3.0)]),
        day("zone-loss-kill", [event("zone_loss", 5.0, zone=core_zone, for_s=4.0), event("after_ack_kill", 9.5, for_s=3.0)]),
        day("core-roll", [event("roll_term", 5.0, on="core", share=1.0, x=1.0, gap_s=1.5), core_cut(16.0, 6.0)]),
        day("replace-closing-wipe", [event("replace_core", site.length_s - 9.0, x=1.0, how="leader")], ClosingFault("wipe_after_ack", 1.5, "aimed")),
        day("wipe-closing-wipe", [event("after_ack_wipe", site.length_s - 10.0, for_s=1.5)], ClosingFault("wipe_after_ack", 1.5, "timed")),
    ]


def catch_up_days(site: Site) -> list[FaultDay]:
    """Hundreds of changes while a core machine is down, wiped or has a faulty disk."""
    hundreds = changes(2.0, 24.0, 0.1)
    many = changes(2.0, 26.0, 0.3)
    large = [event("big_config", at_s, count=300) for at_s in (3.0, 8.0, 13.0)]
    core_down = core_kill(3.0, 14.0, "power")
    evacuation = evacuations(site, [8.0], 8.0)

    def day(name: str, plan: list[DayEvent], faults: list[DayEvent]) -> FaultDay:
        return FaultDay(name, 4, plan, faults, floor_share=CONTROL_FAULT_FLOOR_SHARE)

    return [
        day("hundreds-core-down", hundreds, [core_down]),
        day("hundreds-leader-down", hundreds, [core_kill(3.0, 14.0, "power leader")]),
        day("hundreds-wipe", hundreds, [event("after_ack_wipe", 12.0, for_s=3.0)]),
        day("hundreds-replace", hundreds, [event("replace_core", 12.0, x=2.0, how="leader")]),
        day("hundreds-cut", hundreds, [core_cut(4.0, 14.0)]),
        day("hundreds-down-then-kill", hundreds, [core_down, event("after_ack_kill", 18.0, for_s=3.0)]),
        day("large-core-down", large + many, [core_down, event("replace_core", 21.0, x=0.5)]),
        day("disk-full-changes", many + evacuation, [event("disk_full", 5.0, count=1, for_s=10.0, how="leader")]),
        day("disk-stall-changes", many + evacuation, [event("disk_stall", 5.0, count=1, for_s=8.0, how="leader")]),
        day("disk-slow-changes", many + evacuation, [event("disk_slow", 5.0, count=1, x=60.0, for_s=12.0, how="leader")]),
    ]


def caller_days(site: Site) -> list[FaultDay]:
    """Malformed, lost and late responses while instances, proxies and settings change."""
    plan = [
        event("release", 5.0, share=0.45, x=1.0, gap_s=0.8),
        event("hup", 8.0, share=0.6, gap_s=6.0),
        *changes(3.0, 27.0, 2.0),
    ]
    busy_roll = [event("roll_term", 6.0, share=0.5, x=1.0, gap_s=1.0, how="busy")]
    service = site.services[0]
    lost_answers = event("answer_lost", 6.0, service=service, share=0.6, x=0.05, for_s=12.0, how="reset")
    garbled = event("garble", 7.0, service=service, share=0.6, x=0.04, for_s=12.0, how="extra late")

    def day(name: str, work: list[DayEvent], faults: list[DayEvent]) -> FaultDay:
        return FaultDay(name, 5, work, faults, floor_share=WIDE_FAULT_FLOOR_SHARE)

    return [
        day("resets-release", plan, [event("reset_conns", at_s, share=0.4, x=0.6) for at_s in (6.0, 10.0, 16.0)]),
        day("answers-lost-release", plan, [lost_answers]),
        day("garble-release", plan, [garbled]),
        day("garble-roll", busy_roll, [garbled, lost_answers]),
        day("idle-race-release", plan, [event("idle_race", 5.0, share=0.6, x=250.0, for_s=14.0)]),
        day("flap-release", plan, [event("srv_flap", 6.0, share=0.15, gap_s=0.9, for_s=10.0), garbled]),
        day("seeds-hup", plan, [event("seed_turnover", 4.0), core_cut(9.0, 8.0, "leader seeds")]),
        day("freeze-proxies", busy_roll, [event("node_freeze", 8.0, share=0.25, for_s=2.0), lost_answers]),
        day("reuse-freeze", plan, [event("replace_with_reuse", 7.0, share=0.2, how="dark"), event("node_freeze", 7.5, share=0.25, for_s=3.0)]),
    ]


def closing_days(site: Site) -> list[FaultDay]:
    """Days that end with a failure of all machines, or of the largest tolerated number of disks."""
    steady = steady_changes(site) + evacuations(site, [site.length_s - 6.0], 20.0)
    all_killed = [event("herd_kill", 9.0, on="core", for_s=1.0, how="power")]
    all_killed_when_taken = [event("herd_kill", 9.0, on="core", for_s=1.0, how="taken")]
    late_cut = [core_cut(site.length_s - 9.0, 6.0)]

    def day(name: str, faults: list[DayEvent], closing: ClosingFault) -> FaultDay:
        return FaultDay(name, 3, steady, faults, closing, WIDE_FAULT_FLOOR_SHARE)

    return [
        day("closing-wipe-timed", all_killed, ClosingFault("wipe_after_ack", 1.2, "timed")),
        day("closing-wipe-taken", all_killed_when_taken, ClosingFault("wipe_after_ack", 1.2, "taken")),
        day("closing-wipe-cut", late_cut, ClosingFault("wipe_after_ack", 1.2)),
        day("closing-power-timed", all_killed_when_taken, ClosingFault("power_off_all", 0.8, "timed")),
        day("closing-power-cut", late_cut, ClosingFault("power_off_all", 0.8)),
        day("closing-kill-taken", all_killed, ClosingFault("kill_all", 0.8, "taken")),
    ]


def long_days(_site: Site) -> list[FaultDay]:
    """Hundreds of changes on a long day of high load, followed by a burst of delayed changes."""
    burst = changes(35.5, 38.0, 0.025)
    hundreds = changes(2.0, LONG_DAY_S - 2.0, 0.1) + burst
    power_loss = event("node_kill", 30.0, on="core", count=1, for_s=5.0, how="power leader")
    kills = [event("node_kill", at_s, on="core", count=1) for at_s in (46.0, 58.0)]
    all_killed = event("herd_kill", 70.0, on="core", share=1.0)
    core_kills = [power_loss, *kills, all_killed]
    zones_lost = [event("zone_loss", at_s, for_s=5.0) for at_s in (28.0, 58.0)]
    proxies_lost = event("node_kill", 44.0, share=0.16, for_s=3.0, how="power")
    core_cuts = [core_cut(at_s, 8.0) for at_s in (20.0, 45.0, 65.0)]
    bursts = [event("burst", at_s, x=1.7, for_s=4.0) for at_s in (33.0, 52.0, 72.0)]

    def day(name: str, faults: list[DayEvent], closing: ClosingFault | None = None) -> FaultDay:
        return FaultDay(
            name,
            6,
            hundreds,
            faults,
            closing,
            LONG_DAY_FLOOR_SHARE,
            LONG_DAY_S,
            is_busy=True,
        )

    return [
        day("long-core-kills", core_kills),
        day("long-power-off", core_kills, ClosingFault("power_off_all", 1.2)),
        day("long-zone-losses", [*zones_lost, proxies_lost], ClosingFault("kill_all", 1.0)),
        day("long-core-cuts", core_cuts, ClosingFault("wipe_after_ack", 1.2)),
        day("long-bursts", [*bursts, power_loss], ClosingFault("power_off_all", 1.0, "timed")),
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
    """Returns all days whose kinds of events the site supports."""
    days = [day for group in GROUPS for day in group(site)]
    return [day for day in days if all(site.allows(kind) for kind in day.kinds())]
