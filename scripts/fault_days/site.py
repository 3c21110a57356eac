"""Reads from a site file what days of faults need."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CORE_CLASS = "core"
QUIET_SLOT = "quiet"
BUSY_SLOT = "scale"

CONTRACT_OF_KIND = {
    "srv_grey": "health",
    "srv_lying_health": "health",
    "srv_flap": "health",
    "idle_race": "pool",
}
"""Kinds that a deployment has only if this contract is in force there."""


class SiteError(Exception):
    """The site file can't be used."""


@dataclass(frozen=True)
class Site:
    """The parts of a deployment on which days of faults depend."""

    name: str
    length_s: float
    zones: list[str]
    core_zones: list[str]
    services: list[str]
    contracts: set[str]
    quiet_day: dict[str, Any]
    """The first quiet day, whose marks all days of faults take over, and most of them its traffic."""
    busy_traffic: Any
    """The traffic of the first day of high load; the quiet day's where there is none."""

    def allows(self, kind: str) -> bool:
        """Whether this deployment knows the kind of trouble."""
        contract = CONTRACT_OF_KIND.get(kind)
        return contract is None or contract in self.contracts

    def outer_zones(self) -> list[str]:
        """Zones without a core machine; all zones where there is none."""
        outer = [zone for zone in self.zones if zone not in self.core_zones]
        return outer or self.zones


def read_site(path: Path) -> Site:
    """Reads a site file, or says what it lacks."""
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        return site_of(table)
    except KeyError as missing:
        raise SiteError(f"{path}: there is no {missing}") from missing
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteError(f"{path}: {error}") from error


def site_of(table: dict[str, Any]) -> Site:
    """The site that a parsed file describes."""
    return Site(
        name=table["name"],
        length_s=float(table["length_s"]),
        zones=[zone["name"] for zone in table["zones"]],
        core_zones=zones_of_class(table["machines"], CORE_CLASS),
        services=[service["name"] for service in table["services"]],
        contracts=set(table["contracts"]),
        quiet_day=first_quiet_day(table["day"]),
        busy_traffic=busy_traffic(table["day"]),
    )


def zones_of_class(machines: list[dict[str, Any]], machine_class: str) -> list[str]:
    """The zones that hold machines of a class, in the file's order."""
    return [machine["zone"] for machine in machines if machine["class"] == machine_class]


def first_quiet_day(days: list[dict[str, Any]]) -> dict[str, Any]:
    """The first standard day without faults."""
    for day in days:
        if day["slot"] == QUIET_SLOT:
            return day
    raise SiteError("the site file has no quiet day to take traffic from")


def busy_traffic(days: list[dict[str, Any]]) -> Any:
    """The traffic of the first standard day of high load; of the quiet day where there is none."""
    for day in days:
        if day["slot"] == BUSY_SLOT and "traffic" in day:
            return day["traffic"]
    return first_quiet_day(days)["traffic"]
