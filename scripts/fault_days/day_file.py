"""Writes a day of faults as a TOML file for one site."""

from __future__ import annotations

import random
from typing import Any

from .day import FaultDay
from .site import Site

SLOT = "trouble"
LARGEST_SEED = 2**28

TAKEN_FROM_QUIET_DAY = ["one", "zero", "labels", "wall", "light", "small"]
"""Fields that a day of faults takes from the quiet day as they are."""


def day_file(day: FaultDay, site: Site, seed: int) -> str:
    """The text of the day's file; the same for the same day, site and seed."""
    lines = ["[[day]]"]
    for key, value in day_table(day, site, seed).items():
        lines.append(f"{key} = {toml_value(value)}")
    return "\n".join(lines) + "\n"


def day_table(day: FaultDay, site: Site, seed: int) -> dict[str, Any]:
    """The day as the test bench reads it."""
    quiet = site.quiet_day
    table: dict[str, Any] = {
        "name": day.name,
        "slot": SLOT,
        "seed": day_seed(day.name, site.name, seed),
        "goal": {"floor": share_of(quiet["goal"]["floor"], day.floor_share)},
    }
    for key in TAKEN_FROM_QUIET_DAY:
        if key in quiet:
            table[key] = quiet[key]
    for key in ["floor_classes", "floor_zones"]:
        if key in quiet:
            table[key] = [share_of(floor, day.floor_share) for floor in quiet[key]]
    if day.closing:
        table["closing"] = day.closing.entry()
    table["plan"] = [trouble.entry() for trouble in day.plan]
    table["faults"] = [trouble.entry() for trouble in day.faults]
    if day.length_s:
        table["length_s"] = day.length_s
        if "wall" in quiet:
            table["wall"] = round(quiet["wall"] * day.length_s / site.length_s, 1)
    table["traffic"] = site.busy_traffic if day.is_busy else quiet["traffic"]
    return table


def day_seed(day_name: str, site_name: str, seed: int) -> int:
    """The seed that the test bench draws a day's luck from."""
    return random.Random(f"{seed}/{site_name}/{day_name}").randrange(1, LARGEST_SEED)


def share_of(floor: float, share: float) -> float:
    """A floor made lower or higher by a share."""
    return round(floor * share, 3)


def toml_value(value: Any) -> str:
    """A value in TOML, tables and lists of tables inline."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return toml_string(value)
    if isinstance(value, (int, float)):
        return repr(value)
    if isinstance(value, dict):
        pairs = [f"{key} = {toml_value(inner)}" for key, inner in value.items()]
        return "{ " + ", ".join(pairs) + " }"
    if isinstance(value, list):
        return toml_list(value)
    raise TypeError(f"no TOML for {type(value).__name__}")


def toml_string(text: str) -> str:
    """A basic string of TOML."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'


def toml_list(values: list[Any]) -> str:
    """A list of TOML; each table in it stands on a line of its own."""
    written = [toml_value(value) for value in values]
    if any(isinstance(value, dict) for value in values):
        return "[\n" + "".join(f"  {text},\n" for text in written) + "]"
    return "[" + ", ".join(written) + "]"
