"""The operator: configurations one after another, and what is read back of them."""

import asyncio
import json
import random

from .http import call
from .processes import CONTROL, Fleet
from .record import Record

SETTLE = 30.0


class Operator:
    """Sends whole configurations, each built on the last one that was acknowledged."""

    def __init__(self, fleet: Fleet, record: Record, draw: random.Random):
        self.fleet, self.record, self.draw = fleet, record, draw
        self.acknowledged: dict[str, object] | None = None
        self.version = 0
        self.changes = 0

    def _configuration(self) -> dict[str, object]:
        self.version += self.draw.randint(1, 3)
        built_on = 0 if self.acknowledged is None else self.acknowledged["version"]
        rules = [{"name": kind, "route_kind": kind, "target": "800ms", "rank": rank, "match": {"path_start": path},
                  "action": {"service": service, "give_up": "8000ms", "tries": 2}}
                 for kind, rank, path, service in (("read_only", 2, "/r/", "reads"), ("writing", 1, "/w/", "writes"))]
        rules.append({"name": f"n{self.version}", "route_kind": "read_only", "target": "800ms", "rank": 2,
                      "match": {"path_start": f"/n{self.version}/"},
                      "action": {"service": "reads", "give_up": "8000ms", "tries": 1}})
        groups = [{"name": name, "health_path": "/health", "max_connections": 400, "warm_up": "1s", "cold_per_s": 50.0}
                  for name in ("reads", "writes")]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_wait": "3000ms", "quiet": "15000ms"}
        return {"version": self.version, "built_on": built_on, "limits": limits,
                "listeners": [{"host_name": "soak.example", "rules": rules}], "groups": groups}

    async def change(self, within: float = SETTLE) -> bool:
        """One change, sent to any controller until it is acknowledged."""
        configuration = self._configuration()
        body = json.dumps(configuration).encode()
        loop = asyncio.get_running_loop()
        until = loop.time() + within
        while loop.time() < until:
            controller = self.draw.choice(self.fleet.controllers)
            answer = await call(f"{controller.address}:{self.fleet.port(CONTROL)}", "POST", "/-/Settings.Replace", body, 2.0)
            if answer is not None and answer.status == 200:
                self.acknowledged = configuration
                self.changes += 1
                return True
            if answer is not None and answer.status in (400, 409, 412, 422):
                self.record.broken.append(f"CONFIG: a proper change was refused with {answer.status}")
                return False
            await asyncio.sleep(0.1)
        self.record.broken.append("CONFIG: a change got no acknowledgement")
        return False

    async def read_back(self) -> None:
        """Every controller gives back what was acknowledged last."""
        for controller in self.fleet.controllers:
            got: object = None
            for _ in range(60):
                answer = await call(f"{controller.address}:{self.fleet.port(CONTROL)}", "GET", "/-/Settings.Read", b"", 2.0)
                if answer is not None and answer.status == 200:
                    got = json.loads(answer.body)
                    break
                await asyncio.sleep(0.2)
            if got != self.acknowledged:
                self.record.broken.append(f"CONFIG: {controller.name} doesn't give back what was acknowledged")
