"""The kinds of trouble that a site's contracts allow, as `fleetbench kinds SITE` lists them."""

import re
from dataclasses import dataclass

_EXPLANATION = re.compile(r"\([^()]*\)")
# A part of the list after `how:` that begins so is an explanation and names no variant.
_EXPLAINING_WORDS = frozenset(("they", "their", "on", "or", "how", "say"))
_KIND_LINE = re.compile(r"^([a-z][a-z_]*): (.*)$")
_VARIANT = re.compile(r"^[a-z][a-z_]*$")


@dataclass(frozen=True)
class Kind:
    """One kind of trouble and the variants that its field `how` may name."""

    name: str
    variants: tuple[str, ...]

    def has(self, variant: str) -> bool:
        """Whether `how` may hold this variant."""
        return variant in self.variants


def _variants(description: str) -> tuple[str, ...]:
    """The variants named after each `how` of a description, without their explanations."""
    found: list[str] = re.findall(r"\bhow ([a-z_]+):", description)
    lists: list[str] = re.findall(r"\(how: ([^()]*)\)", description)
    plain = description
    while _EXPLANATION.search(plain):
        plain = _EXPLANATION.sub("", plain)
    lists += re.findall(r"\bhow: (.*)$", plain)
    for listed in lists:
        for part in re.split(r"[,;]", listed):
            words = part.replace("+", " ").split()
            if words and words[0] not in _EXPLAINING_WORDS:
                found += [word for word in words if _VARIANT.match(word)]
    return tuple(dict.fromkeys(found))


def parse_kinds(text: str) -> dict[str, Kind]:
    """The kinds of the bench's list by name, those that "may come too" included."""
    kinds: dict[str, Kind] = {}
    for line in text.splitlines():
        match = _KIND_LINE.match(line)
        if match:
            name, description = match.groups()
            kinds[name] = Kind(name, _variants(description))
    return kinds
