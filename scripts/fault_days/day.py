"""The data model of a fault day."""

from __future__ import annotations

from dataclasses import dataclass, field

FieldValue = float | int | str


@dataclass(frozen=True)
class DayEvent:
    """One event of a day: a fault or planned work, and its start time."""

    kind: str
    """The name of the kind in the test bench."""
    at_s: float
    """Start time in seconds after the start of traffic."""
    fields: dict[str, FieldValue] = field(default_factory=dict)
    """The other fields of the entry, such as duration, count, place and variant."""

    def to_table(self) -> dict[str, FieldValue]:
        """Returns the entry for the day file."""
        return {"at": round(self.at_s, 2), "kind": self.kind, **self.fields}


@dataclass(frozen=True)
class ClosingFault:
    """The fault that ends a day, right after the acknowledgement of one more change."""

    kind: str
    down_s: float
    """How long the affected machines are down, in seconds."""
    how: str = ""

    def to_table(self) -> dict[str, FieldValue]:
        """Returns the closing fault for the day file."""
        table: dict[str, FieldValue] = {"kind": self.kind, "down_s": self.down_s}
        if self.how:
            table["how"] = self.how
        return table


@dataclass(frozen=True)
class FaultDay:
    """A named day: planned work and faults on top of the traffic of a quiet day."""

    name: str
    concern: int
    """The number of the concern in `catalogue.CONCERNS` that the day tests."""
    plan: list[DayEvent]
    faults: list[DayEvent]
    closing: ClosingFault | None = None
    floor_share: float = 1.0
    """The lowest worth with which the day passes, as a share of the quiet day's floor."""
    length_s: float | None = None
    """The length of the day, if it differs from the standard days of the deployment."""
    is_busy: bool = False
    """Whether the day has the traffic of a high-load day instead of a quiet day."""

    def kinds(self) -> set[str]:
        """Returns all kinds of events of the day."""
        return {event.kind for event in self.plan + self.faults}
