"""Reads the parts of a site file that fault days depend on."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CORE_CLASS = "core"
QUIET_SLOT = "quiet"
BUSY_SLOT = "scale"

CONTRACT_BY_KIND = {
    "srv_grey": "health",
    "srv_lying_health": "health",
    "srv_flap": "health",
    "idle_race": "pool",
}
"""Kinds of events that a deployment supports only if it has this contract."""


class SiteError(Exception):
    """The site file is not usable."""


@dataclass(frozen=True)
class Site:
    """The parts of a deployment that fault days depend on."""

    name: str
    length_s: float
    zones: list[str]
    core_zones: list[str]
    services: list[str]
    contracts: set[str]
    quiet_day: dict[str, Any]
    """The first quiet day. All fault days copy its thresholds, and most of them its traffic."""
    busy_traffic: Any
    """The traffic of the first high-load day, or of the quiet day if there is none."""

    def allows(self, kind: str) -> bool:
        """Returns whether this deployment supports a kind of event."""
        contract = CONTRACT_BY_KIND.get(kind)
        return contract is None or contract in self.contracts

    def outer_zones(self) -> list[str]:
        """Returns the zones without a core machine, or all zones if every zone has one."""
        outer = [zone for zone in self.zones if zone not in self.core_zones]
        return outer or self.zones


def read_site(path: Path) -> Site:
    """Reads a site file; the error names a missing field."""
    try:
        with path.open("rb") as file:
            table = tomllib.load(file)
        return site_of(table)
    except KeyError as missing:
        raise SiteError(f"{path}: field {missing} is missing") from missing
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SiteError(f"{path}: {error}") from error


def site_of(table: dict[str, Any]) -> Site:
    """Builds the site from a parsed site file."""
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
    """Returns the zones with machines of a class, in the order of the file."""
    return [machine["zone"] for machine in machines if machine["class"] == machine_class]


def first_quiet_day(days: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the first standard day without faults."""
    for day in days:
        if day["slot"] == QUIET_SLOT:
            return day
    raise SiteError("the site file has no quiet day, whose traffic fault days need")


def busy_traffic(days: list[dict[str, Any]]) -> Any:
    """Returns the traffic of the first high-load day, or of the quiet day if there is none."""
    for day in days:
        if day["slot"] == BUSY_SLOT and "traffic" in day:
            return day["traffic"]
    return first_quiet_day(days)["traffic"]
