"""Debian's packages as dpkg's database knows them: which package a file is from, and what a list of packages brings."""

import os
import re
import subprocess
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

DPKG_STATUS = Path("/var/lib/dpkg/status")
_BATCH = 500  # paths for one call of dpkg


@dataclass(frozen=True)
class Package:
    """An installed package."""

    name: str
    essential: bool
    provides: tuple[str, ...]
    depends: tuple[tuple[str, ...], ...]  # each an `a | b`, by preference


def _relations(value: str) -> tuple[tuple[str, ...], ...]:
    """The names of a relation field, without versions and architectures."""
    groups = (group.split("|") for group in value.split(",") if group.strip())
    return tuple(tuple(re.split(r"[\s(:\[]", name.strip(), maxsplit=1)[0] for name in group) for group in groups)


def parse_status(text: str) -> dict[str, Package]:
    """The installed packages of a text like dpkg's status file."""
    packages: dict[str, Package] = {}
    for paragraph in re.split(r"\n\s*\n", text):
        fields: dict[str, str] = {}
        for line in paragraph.splitlines():
            name, separator, value = line.partition(":")
            if separator and not line[0].isspace():
                fields[name] = value.strip()
        if not fields.get("Status", "").endswith(" installed"):
            continue
        name = fields["Package"]
        depends = _relations(fields.get("Pre-Depends", "")) + _relations(fields.get("Depends", ""))
        provides = tuple(group[0] for group in _relations(fields.get("Provides", "")))
        packages[name] = Package(name, fields.get("Essential") == "yes", provides, depends)
    return packages


def _chosen(alternatives: Iterable[str], packages: dict[str, Package]) -> str | None:
    """The installed package that meets a dependency: the first real one, else the first that provides one."""
    wanted = tuple(alternatives)
    for name in wanted:
        if name in packages:
            return name
    providers = sorted(package.name for package in packages.values() if set(wanted) & set(package.provides))
    return providers[0] if providers else None


def closure(names: Iterable[str], packages: dict[str, Package]) -> set[str]:
    """What an installation of `names` brings onto a machine that has the essential packages alone.

    Dependencies are followed, recommendations aren't.
    """
    waiting = [package.name for package in packages.values() if package.essential]
    waiting += [chosen for name in names if (chosen := _chosen([name], packages))]
    found: set[str] = set()
    while waiting:
        name = waiting.pop()
        if name in found:
            continue
        found.add(name)
        waiting += [chosen for group in packages[name].depends if (chosen := _chosen(group, packages))]
    return found


def _spellings(path: str) -> Iterator[str]:
    """The names under which dpkg may know a file: /lib and /usr/lib are one folder, as are /bin and /usr/bin."""
    yield path
    if path.startswith("/usr/"):
        yield path.removeprefix("/usr")
    else:
        yield "/usr" + path


def owners(paths: Iterable[str]) -> dict[str, str | None]:
    """The package of each file, links followed; None where no package has it."""
    real = {path: os.path.realpath(path) for path in paths}
    asked = sorted({spelling for path in real.values() for spelling in _spellings(path)})
    known: dict[str, str] = {}
    for start in range(0, len(asked), _BATCH):
        # dpkg ends with 1 where a path has no package; that is what is asked here.
        answer = subprocess.run(["dpkg", "-S", *asked[start:start + _BATCH]], capture_output=True, text=True, check=False)
        for line in answer.stdout.splitlines():
            package, separator, path = line.partition(": ")
            if separator and not line.startswith("diversion by"):
                known[path] = package.split(",")[0].split(":")[0]
    return {path: next((known[spelling] for spelling in _spellings(target) if spelling in known), None)
            for path, target in real.items()}
