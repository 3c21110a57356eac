"""What a day of faults is made of."""

from __future__ import annotations

from dataclasses import dataclass, field

FieldValue = float | int | str


@dataclass(frozen=True)
class Trouble:
    """One entry of a day: a kind of trouble or of planned work, and when it begins."""

    kind: str
    """The kind, as the test bench names it."""
    at_s: float
    """Seconds from the start of traffic."""
    fields: dict[str, FieldValue] = field(default_factory=dict)
    """The entry's other fields: how long, how many, where, which variant."""

    def entry(self) -> dict[str, FieldValue]:
        """The entry as it stands in a day file."""
        return {"at": round(self.at_s, 2), "kind": self.kind, **self.fields}


@dataclass(frozen=True)
class Closing:
    """The fault that ends a day, right after one more change was acknowledged."""

    kind: str
    down_s: float
    how: str = ""

    def entry(self) -> dict[str, FieldValue]:
        """The closing fault as it stands in a day file."""
        entry: dict[str, FieldValue] = {"kind": self.kind, "down_s": self.down_s}
        if self.how:
            entry["how"] = self.how
        return entry


@dataclass(frozen=True)
class FaultDay:
    """A named day: planned work and faults laid over the traffic of a quiet day."""

    name: str
    point: int
    """The concern that the day is about, by its number in `catalogue.POINTS`."""
    plan: list[Trouble]
    faults: list[Trouble]
    closing: Closing | None = None
    floor_share: float = 1.0
    """The lowest worth that passes, as a share of the quiet day's own floor."""
    length_s: float | None = None
    """How long the day is, where not as long as the deployment's own days."""
    is_busy: bool = False
    """Whether it has the traffic of a day of high load and not of a quiet one."""

    def kinds(self) -> set[str]:
        """Every kind of trouble or planned work in the day."""
        return {trouble.kind for trouble in self.plan + self.faults}
