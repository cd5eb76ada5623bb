"""A caller whose orders, heartbeats and sign-offs nobody can read: cut short, nested deeply, or not in UTF-8."""

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from .http import call
from .processes import CONTROL, Fleet
from .record import Record

PAUSE = 0.3  # seconds between two calls, in the mean
MOST_LEVELS = 1_000_000  # of nesting
REFUSALS = (400, 404, 412, 413)  # an order that is both invalid and stale may get 412


@dataclass
class MalformedCall:
    """What is sent to a controller."""

    path: str
    body: bytes


class MalformedCaller:
    """Sends malformed calls to all controllers, also while they start and end. Each is refused, or has no clear answer
    while controllers are in trouble; none is confirmed."""

    def __init__(self, fleet: Fleet, record: Record, draw: random.Random):
        self.fleet, self.record, self.draw = fleet, record, draw
        self.stopping = False
        self.refused = 0
        self.kinds: list[Callable[[], MalformedCall]] = [
            self._cut_configuration, self._deep_configuration, self._deep_invalid_configuration, self._latin_configuration,
            self._deep_heartbeat, self._latin_heartbeat, self._latin_identifier, self._latin_sign_off, self._noise]

    async def play(self) -> None:
        """Calls until it is told to stop."""
        while not self.stopping:
            await self._call(self.draw.choice(self.kinds)())
            await asyncio.sleep(self.draw.expovariate(1 / PAUSE))

    async def _call(self, malformed: MalformedCall) -> None:
        controller = self.draw.choice(self.fleet.controllers)
        answer = await call(f"{controller.address}:{self.fleet.port(CONTROL)}", "POST", malformed.path, malformed.body, 2.0)
        if answer is None or answer.status == 503:
            return
        if answer.status in REFUSALS:
            self.refused += 1
            return
        self.record.broken.append(f"INVALID: {malformed.path!r} with {malformed.body[:60]!r} got {answer.status}")

    def _levels(self) -> int:
        return int(MOST_LEVELS ** self.draw.random())

    def _configuration(self) -> bytes:
        rule = {"name": "r", "route_kind": "read_only", "match": {"path_start": "/"},
                "action": {"service": "reads", "give_up": "2s", "tries": 1}}
        return json.dumps({"version": 1_000_000_000, "built_on": 999_999_999, "groups": [{"name": "reads"}],
                           "listeners": [{"host_name": "soak.example", "rules": [rule]}]}).encode()

    def _cut_configuration(self) -> MalformedCall:
        whole = self._configuration()
        return MalformedCall("/-/Settings.Replace", whole[:self.draw.randrange(len(whole))])

    def _deep_configuration(self) -> MalformedCall:
        return MalformedCall("/-/Settings.Replace", self._configuration()[:-1] + b',"note":' + b"[" * self._levels())

    def _deep_invalid_configuration(self) -> MalformedCall:
        levels = self._levels()
        return MalformedCall("/-/Settings.Replace", b'{"version":1,"note":' + b"[" * levels + b"]" * levels + b"}")

    def _latin_configuration(self) -> MalformedCall:
        return MalformedCall("/-/Settings.Replace", self._configuration().replace(b"soak", b"s\xf6ak"))

    def _heartbeat(self, service: bytes = b"reads", rest: bytes = b"") -> bytes:
        return b'{"service":"' + service + b'","address":"127.0.0.1:1","zone":"north"' + rest + b"}"

    def _deep_heartbeat(self) -> MalformedCall:
        return MalformedCall("/-/Servers.Beat/malformed", self._heartbeat(rest=b',"note":' + b"[" * self._levels()))

    def _latin_heartbeat(self) -> MalformedCall:
        return MalformedCall("/-/Servers.Beat/malformed", self._heartbeat(service=b"l\xe9s"))

    def _latin_identifier(self) -> MalformedCall:
        return MalformedCall("/-/Servers.Beat/malf\xf6rmed", self._heartbeat())

    def _latin_sign_off(self) -> MalformedCall:
        return MalformedCall("/-/Servers.Leave/malf\xf6rmed", b"")

    def _noise(self) -> MalformedCall:
        path = self.draw.choice(("/-/Settings.Replace", "/-/Servers.Beat/malformed"))
        return MalformedCall(path, self.draw.randbytes(self.draw.randrange(1000)))
