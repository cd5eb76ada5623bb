"""Plays a day with the operators' bench and tells whether it broke, from the bench's report."""

import json
import subprocess
import tempfile
from dataclasses import dataclass
from pathlib import Path

from .days import Day

PLAY_TIMEOUT = 900.0  # seconds of the wall clock for one play


class BenchError(Exception):
    """The bench gave no report: it couldn't build, or it didn't understand the day."""


@dataclass(frozen=True)
class Verdict:
    """What the bench found on one play of a day."""

    broken_rules: tuple[str, ...]  # "CONFIG 1"
    short_of_gate: tuple[str, ...]  # acknowledgements, starvation
    fault: str  # why the day was given up, if it was
    exits: int  # processes that ended by themselves
    first: tuple[str, ...]  # the first break of each rule

    @staticmethod
    def parse(report: str) -> "Verdict":
        """Reads the file that `fleetbench run --report` writes."""
        table = json.loads(report)
        return Verdict(
            broken_rules=tuple(f"{rule} {times}" for rule, times in sorted(table["breaks"].items()) if times),
            short_of_gate=tuple(table["short"]),
            fault=str(table["fault"] or ""),
            exits=int(table["exits_n"]),
            first=tuple(f"{found['rule']} at {found['at_s']} s: {found['what']}" for found in table["first"]),
        )

    def broke(self) -> bool:
        """Whether a rule was broken, the gate missed, the day given up, or a process ended by itself."""
        return bool(self.broken_rules or self.short_of_gate or self.fault or self.exits)

    def summary(self) -> str:
        """One line."""
        if not self.broke():
            return "held"
        parts = [f"BROKEN {rule}" for rule in self.broken_rules]
        parts += [f"short: {short}" for short in self.short_of_gate]
        if self.fault:
            parts.append(f"fault: {self.fault}")
        if self.exits:
            parts.append(f"{self.exits} processes ended by themselves")
        return "; ".join(parts)


@dataclass(frozen=True)
class Bench:
    """The bench's program, a site, and the repository in which it runs."""

    program: Path
    site: Path
    repository: Path
    charge_processor: bool = True

    def kinds(self) -> str:
        """The list of the kinds of trouble that the site's contracts allow."""
        return self._run(["kinds", str(self.site)])

    def build(self) -> None:
        """Builds the system once, so that plays don't."""
        self._run(["build"])

    def play(self, day: Day, seed: int) -> Verdict:
        """Plays the day with a seed; the bench leaves an entry in the journal."""
        with tempfile.TemporaryDirectory(prefix="hard-day-") as folder:
            file, report = Path(folder) / "day.toml", Path(folder) / "report.json"
            file.write_text(day.to_toml(), encoding="utf-8")
            arguments = ["run", str(self.site), str(file), "--seed", str(seed), "--report", str(report)]
            if not self.charge_processor:
                arguments.append("--no-cpu")
            output = self._run([*arguments, "--why", f"a day on purpose: {day.name}"])
            if not report.exists():
                raise BenchError(output.strip()[-500:])
            return Verdict.parse(report.read_text(encoding="utf-8"))

    def _run(self, arguments: list[str]) -> str:
        try:
            done = subprocess.run([str(self.program), *arguments], cwd=self.repository, capture_output=True, text=True,
                                  timeout=PLAY_TIMEOUT, check=False)
        except (OSError, subprocess.TimeoutExpired) as error:
            raise BenchError(str(error)) from error
        if done.returncode != 0:
            raise BenchError((done.stdout + done.stderr).strip()[-500:])
        return done.stdout
