"""A day of the bench: entries at set times, with a closing fault or without, and its form as TOML."""

import json
from dataclasses import dataclass, field

# Kinds that are planned work and stand under `plan`; all others stand under `faults`.
PLANNED_KINDS = frozenset(
    "bad_config big_config config_change config_race config_storm evacuate hup release roll_term scale_in scale_out "
    "seed_turnover".split()
)
# Planned entries of this kind are background: they don't count among the kinds that overlap.
BACKGROUND_KIND = "config_change"

Value = str | int | float


@dataclass(frozen=True)
class Entry:
    """One trouble: when, of which kind, and its other fields as the bench names them."""

    at: float
    kind: str
    fields: tuple[tuple[str, Value], ...] = ()

    @staticmethod
    def make(at: float, kind: str, **fields: Value | None) -> "Entry":
        """An entry without the fields that are None or empty."""
        kept = tuple((name, value) for name, value in fields.items() if value is not None and value != "")
        return Entry(round(at, 2), kind, kept)

    def value(self, name: str) -> Value | None:
        """A field's value, or None."""
        return dict(self.fields).get(name)

    def end(self) -> float:
        """When the entry's own time is over; a repeated step lasts for all its repeats."""
        lasting = self.value("for_s")
        if lasting is not None:
            return self.at + float(lasting)
        gap, count = self.value("gap_s"), self.value("count")
        return self.at + float(gap) * float(count) if gap is not None and count is not None else self.at

    def to_toml(self) -> str:
        """The entry as an inline table."""
        pairs = [("at", self.at), ("kind", self.kind), *self.fields]
        return "{ " + ", ".join(f"{name} = {_toml_value(value)}" for name, value in pairs) + " }"


def _toml_value(value: Value) -> str:
    # JSON's strings and numbers are TOML's as well.
    return json.dumps(round(value, 3) if isinstance(value, float) else value)


@dataclass(frozen=True)
class Closing:
    """The fault at a day's end."""

    kind: str
    down: float
    how: str = ""

    def to_toml(self) -> str:
        """The closing fault as an inline table."""
        how = f", how = {_toml_value(self.how)}" if self.how else ""
        return f"{{ kind = {_toml_value(self.kind)}, down_s = {_toml_value(self.down)}{how} }}"


@dataclass(frozen=True)
class Day:
    """A day on purpose. `seed` drew the day; the seeds that it is played with are others."""

    name: str
    seed: int
    entries: tuple[Entry, ...]
    closing: Closing | None = None
    comments: tuple[str, ...] = field(default=(), compare=False)

    def kinds(self) -> tuple[str, ...]:
        """The kinds that overlap: all but the configuration changes between them."""
        return tuple(sorted({entry.kind for entry in self.entries} - {BACKGROUND_KIND}))

    def to_toml(self) -> str:
        """The day as a file that `fleetbench run SITE FILE` plays."""
        lines = [f"# {comment}" for comment in self.comments]
        lines += ["[[day]]", f"name = {_toml_value(self.name)}", 'slot = "trouble"', f"seed = {self.seed}"]
        if self.closing:
            lines.append(f"closing = {self.closing.to_toml()}")
        ordered = sorted(self.entries, key=lambda entry: entry.at)
        for table, planned in (("plan", True), ("faults", False)):
            lines.append(f"{table} = [")
            lines += [f"  {entry.to_toml()}," for entry in ordered if (entry.kind in PLANNED_KINDS) == planned]
            lines.append("]")
        return "\n".join(lines) + "\n"
