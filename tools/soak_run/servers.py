"""Stand-in servers: they sign up by beats, answer after a while, and leave in one of two ways."""

import asyncio
import json
import random

from .http import Closed, call, compose, read_message
from .processes import BEAT_EVERY, CONTROL, DRAIN, SERVER, Fleet
from .record import Record

SERVE_ON = 10.0  # seconds beyond the drain, at most
USUAL_WORK, LONG_WORK, LONG_SHARE = 0.12, (0.5, 3.5), 0.15  # seconds that a request takes


class Server:
    """One server; a new one for each start."""

    def __init__(self, fleet: Fleet, record: Record, draw: random.Random, number: int, service: str):
        self.fleet, self.record, self.draw, self.service = fleet, record, draw, service
        self.name = f"i-{number}"
        self.address = f"127.3.{number // 200}.{number % 200 + 1}"
        self.zone = fleet.controllers[number % len(fleet.controllers)].zone
        self.calls = 0
        self.emptying = False
        self.leaving = False
        self.listener: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens and beats."""
        self.listener = await asyncio.start_server(self._serve, self.address, self.fleet.port(SERVER))
        asyncio.get_running_loop().create_task(self._beats())

    async def _call(self, path: str, body: bytes) -> bool:
        for _ in range(4):
            controller = self.draw.choice(self.fleet.controllers)
            answer = await call(f"{controller.address}:{self.fleet.port(CONTROL)}", "POST", path, body)
            if answer is not None and answer.status // 100 == 2:
                return True
        return False

    async def _beat(self) -> bool:
        self.calls += 1
        said = {"service": self.service, "address": f"{self.address}:{self.fleet.port(SERVER)}", "zone": self.zone,
                "version": "v1", "free_places": 8, "server_state": "emptying" if self.emptying else "ready",
                "cold_left": "0ms", "call_count": self.calls}
        return await self._call(f"/-/Servers.Beat/{self.name}", json.dumps(said).encode())

    async def _beats(self) -> None:
        while not self.leaving:
            await self._beat()
            await asyncio.sleep(BEAT_EVERY * self.draw.uniform(0.9, 1.1))

    async def leave(self) -> None:
        """Leaves: emptying first, or by a sign-off alone; serves on, and ends."""
        loop = asyncio.get_running_loop()
        sign_off_first = self.draw.random() < 0.5
        if sign_off_first:
            self.leaving = True
            acknowledged = await self._call(f"/-/Servers.Leave/{self.name}", b"")
        else:
            self.emptying = True
            acknowledged = await self._beat()
        if acknowledged:
            self.record.departed[self.name] = loop.time()
            self.record.departures += 1
        await asyncio.sleep(DRAIN + self.draw.uniform(0.3, SERVE_ON))
        self.leaving = True
        if not sign_off_first:
            await self._call(f"/-/Servers.Leave/{self.name}", b"")
        await self.end()

    async def end(self) -> None:
        """Closes everything."""
        self.leaving = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request.path, request.fields))
        except (Closed, OSError, asyncio.CancelledError):
            pass  # cancelled at the end of the soak
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, path: str, fields: dict[str, str]) -> bytes:
        name = fields.get("x-try-id", "")
        if path == "/health":
            return compose("HTTP/1.1 200 OK", {"X-Answering-Server": self.name})
        if fields.get("x-meant-server") != self.name:
            return compose("HTTP/1.1 421 Misdirected Request", {"X-Try-Id": name, "X-Not-Run": "1"})
        loop = asyncio.get_running_loop()
        run = self.record.run(name, self.name, loop.time())
        is_long = self.draw.random() < LONG_SHARE
        await asyncio.sleep(self.draw.uniform(*LONG_WORK) if is_long else self.draw.expovariate(1 / USUAL_WORK))
        run.ended = loop.time()
        extra = {"Connection": "close"} if self.emptying or self.leaving else {}
        return compose("HTTP/1.1 200 OK", {"X-Try-Id": name, "X-Server-Seal": f"s.{name}", **extra}, b"x" * 300)
