"""Random choices for a day, bounded by the site's times and by the kinds that its contracts list."""

import random
from collections.abc import Iterable, Sequence
from typing import TypeVar

from .days import BACKGROUND_KIND, Closing, Entry, Value
from .kinds import Kind
from .site import Site

Item = TypeVar("Item")

FIRST_MOMENT = 1.0  # no trouble earlier
LAST_MARGIN = 1.0  # and none that lasts longer than until so long before the end
SHORTEST = 0.3  # the shortest trouble
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
CLOSINGS = ("wipe_after_ack", "power_off_all", "kill_all")
CLOSING_VARIANTS = {"wipe_after_ack": ("", "aimed", "timed", "taken", "oldest", "aimed oldest")}


class Draw:
    """Draws moments, variants and entries for one day."""

    def __init__(self, seed: int, site: Site, kinds: dict[str, Kind]):
        self.random = random.Random(seed)
        self.site = site
        self.kinds = kinds
        self.last = site.length - LAST_MARGIN

    def between(self, low: float, high: float) -> float:
        """A number from the range."""
        return self.random.uniform(low, max(low, high))

    def pick(self, items: Sequence[Item]) -> Item:
        """One of the items."""
        return self.random.choice(items)

    def some(self, items: Iterable[Item], low: int, high: int) -> list[Item]:
        """From `low` to `high` different items, fewer where there are fewer."""
        pool = list(items)
        return self.random.sample(pool, min(len(pool), self.random.randint(low, high)))

    def listed(self, *names: str) -> list[str]:
        """Those of the names that the site's contracts list."""
        return [name for name in names if name in self.kinds]

    def clamp(self, at: float) -> float:
        """The moment, moved into the day."""
        return min(max(at, FIRST_MOMENT), self.last)

    def soon_after(self, moment: float) -> float:
        """A moment at which a system is often still busy with what happened before."""
        site = self.site
        window = self.pick((0.1, 0.5, site.apply, site.in_touch, site.catch_up, 2 * site.catch_up))
        return self.clamp(moment + self.between(0.0, window))

    def entry(self, at: float, kind: str, lasting: float | None = None, **fields: Value | None) -> Entry:
        """An entry that begins and ends within the day; without `lasting` it has no time of its own."""
        at = self.clamp(at)
        if lasting is not None:
            fields["for_s"] = round(max(SHORTEST, min(lasting, self.last - at)), 2)
        return Entry.make(at, kind, **fields)

    def variant(self, kind: str, *wanted: str) -> str:
        """One of the wanted variants (several words: several variants) that the kind lists, or none."""
        listed = self.kinds[kind].variants if kind in self.kinds else ()
        usable = [how for how in wanted if all(word in listed for word in how.split())]
        return self.pick([*usable, ""]) if usable else ""

    def changes(self, start: float, end: float, gap: float) -> list[Entry]:
        """Configuration changes one after another, about `gap` apart."""
        entries: list[Entry] = []
        at = start
        while at < min(end, self.last):
            entries.append(self.entry(at, BACKGROUND_KIND, how=self.pick(CHANGES)))
            at += gap * self.between(0.6, 1.4)
        return entries

    def closing(self, chance: float = 0.6) -> Closing | None:
        """A closing fault, or none."""
        if self.random.random() >= chance:
            return None
        kind = self.pick(CLOSINGS)
        how = self.pick(CLOSING_VARIANTS.get(kind, ("",)))
        return Closing(kind, round(self.between(0.5, 1.6), 2), how)
