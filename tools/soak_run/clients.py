"""Clients: each uses an open connection until the process at its other end is gone, whatever it was told."""

import asyncio
import random

from .http import Closed, Message, compose, read_message
from .processes import FRONT, Fleet, Process
from .record import Record, Request

TIME_LEFT = 8.0
MOST_WAIT = TIME_LEFT + 1.0
PAUSE = 0.3  # seconds between an answer and the next request, about


class Clients:
    """A number of clients that ask by turns."""

    def __init__(self, fleet: Fleet, record: Record, draw: random.Random, count: int):
        self.fleet, self.record, self.draw, self.count = fleet, record, draw, count
        self.stopping = False
        self.statuses: dict[int, int] = {}
        self.unanswered = 0

    async def play(self) -> None:
        """Until `stopping`; those under way end."""
        await asyncio.gather(*(self._client(k) for k in range(self.count)))

    async def _client(self, number: int) -> None:
        asked = 0
        while not self.stopping:
            proxy = self.draw.choice(self.fleet.proxies)
            incarnation = len(proxy.statuses)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(proxy.address, self.fleet.port(FRONT)), 1.0)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            requests = self.draw.choice((1, 1, 3, 1000))
            try:
                while requests > 0 and not self.stopping:
                    requests -= 1
                    asked += 1
                    await self._ask(f"c{number}.{asked}", proxy, incarnation, reader, writer)
                    await asyncio.sleep(self.draw.expovariate(1 / PAUSE))
            except (Closed, OSError, asyncio.TimeoutError):
                pass
            finally:
                writer.close()

    async def _ask(self, name: str, proxy: Process, incarnation: int, reader: asyncio.StreamReader,
                   writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        writing = self.draw.random() < 0.4
        fields = {"Host": "soak.example", "X-Try-Id": name, "X-Time-Left": str(int(TIME_LEFT * 1000))}
        text = compose(f"{'POST' if writing else 'GET'} /{'w' if writing else 'r'}/a HTTP/1.1", fields, b"b" if writing else b"")
        request = Request(name, writing, proxy, incarnation, loop.time())
        if reader.at_eof():
            raise Closed(False)
        self.record.requests[name] = request
        writer.write(text)
        try:
            answer: Message = await asyncio.wait_for(read_message(reader), MOST_WAIT)
        except Closed:
            self.unanswered += 1
            self.record.unanswered(request, loop.time())
            raise
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        self.record.answered(request, answer.status, answer.fields.get("x-server-seal", ""))
