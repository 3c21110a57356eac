"""Writes a fault day as a TOML file for one site."""

from __future__ import annotations

import random
from typing import Any

from .day import FaultDay
from .site import Site

SLOT = "trouble"
SEED_LIMIT = 2**28

COPIED_FROM_QUIET_DAY = ["one", "zero", "labels", "wall", "light", "small"]
"""Fields that are copied unchanged from the quiet day."""


def day_file(day: FaultDay, site: Site, seed: int) -> str:
    """Returns the text of the day file. It depends only on the day, the site and the seed."""
    lines = ["[[day]]"]
    for key, value in day_table(day, site, seed).items():
        lines.append(f"{key} = {toml_value(value)}")
    return "\n".join(lines) + "\n"


def day_table(day: FaultDay, site: Site, seed: int) -> dict[str, Any]:
    """Returns the day in the format of the test bench."""
    quiet = site.quiet_day
    table: dict[str, Any] = {
        "name": day.name,
        "slot": SLOT,
        "seed": day_seed(day.name, site.name, seed),
        "goal": {"floor": scaled_floor(quiet["goal"]["floor"], day.floor_share)},
    }
    for key in COPIED_FROM_QUIET_DAY:
        if key in quiet:
            table[key] = quiet[key]
    for key in ["floor_classes", "floor_zones"]:
        if key in quiet:
            table[key] = [scaled_floor(floor, day.floor_share) for floor in quiet[key]]
    if day.closing:
        table["closing"] = day.closing.to_table()
    table["plan"] = [event.to_table() for event in day.plan]
    table["faults"] = [event.to_table() for event in day.faults]
    if day.length_s:
        table["length_s"] = day.length_s
        if "wall" in quiet:
            table["wall"] = round(quiet["wall"] * day.length_s / site.length_s, 1)
    table["traffic"] = site.busy_traffic if day.is_busy else quiet["traffic"]
    return table


def day_seed(day_name: str, site_name: str, seed: int) -> int:
    """Returns the seed for the random choices of the test bench on this day."""
    return random.Random(f"{seed}/{site_name}/{day_name}").randrange(1, SEED_LIMIT)


def scaled_floor(floor: float, share: float) -> float:
    """Returns a floor multiplied by a share, rounded."""
    return round(floor * share, 3)


def toml_value(value: Any) -> str:
    """Returns a value in TOML, with tables inline."""
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
    raise TypeError(f"a value of type {type(value).__name__} has no TOML form")


def toml_string(text: str) -> str:
    """Returns a basic TOML string."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return f'"{escaped}"'


def toml_list(values: list[Any]) -> str:
    """Returns a TOML array, with each table in it on its own line."""
    written = [toml_value(value) for value in values]
    if any(isinstance(value, dict) for value in values):
        return "[\n" + "".join(f"  {text},\n" for text in written) + "]"
    return "[" + ", ".join(written) + "]"
