"""What the generator needs to know of a site; every value is read from the site's file at run time."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

MILLISECONDS = 1000.0


@dataclass(frozen=True)
class Site:
    """Times in seconds, and the names that entries of a day may use."""

    name: str
    length: float  # of the traffic
    catch_up: float  # a machine counts as lost for so long after its return
    in_touch: float  # calm for so long, the machines are in touch
    confirm: float  # within so long an order is acknowledged
    apply: float  # within so long a configuration is in force
    grace: float  # a process ends so long after SIGTERM at the latest
    drain: float
    tolerated_machines: int
    zones: tuple[str, ...]
    services: tuple[str, ...]

    @staticmethod
    def parse(text: str) -> "Site":
        """Reads a site file's text."""
        table = tomllib.loads(text)
        bounds = table["bounds"]
        return Site(
            name=table["name"],
            length=float(table["length_s"]),
            catch_up=float(table["timing"]["catch_up_s"]),
            in_touch=bounds["touch_ms"] / MILLISECONDS,
            confirm=bounds["ack_ms"] / MILLISECONDS,
            apply=bounds["config_ms"] / MILLISECONDS,
            grace=float(bounds["grace_s"]),
            drain=bounds["drain_ms"] / MILLISECONDS,
            tolerated_machines=int(table["tolerate"]["machines"]),
            zones=tuple(zone["name"] for zone in table["zones"]),
            services=tuple(service["name"] for service in table["services"]),
        )

    @staticmethod
    def load(path: Path) -> "Site":
        """Reads a site file."""
        return Site.parse(path.read_text(encoding="utf-8"))
