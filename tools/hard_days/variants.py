"""Copies of a site file with tighter bounds or larger downloads, which show a margin before it breaks.

Plays of a copy are trials. It is written outside the repository, beside a copy of the wire examples that the bench reads.
"""

import re
import shutil
from collections.abc import Mapping
from pathlib import Path

WIRE = "wire.json"
_BOUNDS = re.compile(r"(?ms)^\[bounds\]$.*?(?=^\[)")
_DOWNLOAD = re.compile(r'^.*kind = "download".*$', re.MULTILINE)
_ANSWERS = re.compile(r"(resp_bytes = \{ mean = )([\d.]+)(.*?max = )([\d.]+)")


class VariantError(ValueError):
    """The site has nothing of what is to be changed."""


def with_bound(text: str, name: str, value: str) -> str:
    """The site with another figure for one of its bounds."""
    bounds = _BOUNDS.search(text)
    line = re.compile(rf"(?m)^{re.escape(name)} = .*$")
    if not bounds or not line.search(bounds[0]):
        raise VariantError(f"no bound {name}")
    return text[: bounds.start()] + line.sub(f"{name} = {value}", bounds[0]) + text[bounds.end() :]


def with_larger_downloads(text: str, factor: float) -> str:
    """The site with answers of downloads so many times as large."""

    def larger(match: re.Match[str]) -> str:
        return f"{match[1]}{float(match[2]) * factor:.1f}{match[3]}{float(match[4]) * factor:.1f}"

    changed = _DOWNLOAD.sub(lambda line: _ANSWERS.sub(larger, line[0]), text)
    if changed == text:
        raise VariantError("no downloads")
    return changed


def write(site: Path, folder: Path, bounds: Mapping[str, str], downloads: float) -> Path:
    """Writes the copy into the folder; gives its path."""
    text = site.read_text(encoding="utf-8")
    for name, value in bounds.items():
        text = with_bound(text, name, value)
    if downloads != 1:
        text = with_larger_downloads(text, downloads)
    shutil.copy(site.parent / WIRE, folder / WIRE)
    copy = folder / site.name
    copy.write_text(text, encoding="utf-8")
    return copy
