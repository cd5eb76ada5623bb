"""Stand-ins for servers, clients and the platform's choice of an edge proxy, as PROTOCOL.md tells them."""

import asyncio
import json
import random
import time

from fleet import BEAT_EVERY, ZONES, Closed, call, compose, read_message

SLOTS, QUEUE = 3, 12
WORK = {"starlook": 0.09, "ledgerhold": 0.12, "platefetch": 0.072}


class Server:
    """One server at one address. Each start begins a new life with a new id."""

    def __init__(self, fleet, number, service, zone):
        self.fleet, self.number, self.service, self.zone = fleet, number, service, zone
        self.address = f"127.23.0.{number + 1}"
        self.draw = random.Random(number)
        self.lives = 0
        self.name = ""
        self.listener = self.beating = None
        self.connections = set()
        self.runs = {}  # life: requests run
        self.acknowledged = {}  # life: beats that got a 2xx
        self.slots = None
        self.under_way = 0

    async def start(self):
        self.lives += 1
        self.name = f"i-{self.number:02d}{self.lives}{self.draw.randrange(1 << 16):04x}"
        self.runs[self.name] = self.acknowledged[self.name] = 0
        self.slots, self.under_way = asyncio.Semaphore(SLOTS), 0
        self.listener = await asyncio.start_server(self._serve, self.address, self.fleet.server)
        self.beating = asyncio.get_running_loop().create_task(self._beats(self.name))

    def crash(self):
        """It falls silent: its process is gone."""
        self.beating.cancel()
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    async def _beats(self, name):
        calls = 0
        to = self.draw.randrange(len(self.fleet.controllers))
        while True:
            calls += 1
            said = {"service": self.service, "address": f"{self.address}:{self.fleet.server}", "zone": self.zone,
                    "version": "v1", "free_places": SLOTS, "server_state": "ready", "cold_left": "0ms",
                    "call_count": calls}
            for _ in range(4):  # the next planner where there is no 2xx within a second
                controller = self.fleet.controllers[to % len(self.fleet.controllers)]
                answer = await call(f"{controller.address}:{self.fleet.control}", "POST", f"/-/Servers.Beat/{name}",
                                    json.dumps(said).encode())
                if answer is not None and answer.status // 100 == 2:
                    self.acknowledged[name] += 1
                    break
                to += 1
            await asyncio.sleep(BEAT_EVERY * self.draw.uniform(0.95, 1.05))

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        name = self.name
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request, name))
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request, name):
        tried = request.fields.get("x-try-id", "")
        base = {"X-Try-Id": tried}
        if request.path == "/health":
            return compose("HTTP/1.1 200 OK", {"X-Answering-Server": name})
        if request.fields.get("x-meant-server", name) != name:
            return compose("HTTP/1.1 421 Misdirected Request", {**base, "X-Not-Run": "1"})
        if not tried:
            return compose("HTTP/1.1 400 Bad Request", {"X-Not-Run": "1"})
        if self.under_way >= SLOTS + QUEUE:
            return compose("HTTP/1.1 503 Service Unavailable", {**base, "X-Not-Run": "1"})
        self.under_way += 1
        try:
            async with self.slots:
                self.runs[name] += 1
                await asyncio.sleep(WORK[self.service] * self.draw.uniform(0.5, 1.5))
        finally:
            self.under_way -= 1
        return compose("HTTP/1.1 200 OK", {**base, "X-Server-Seal": f"{name}.{tried}"}, b"x" * 400)


class Platform:
    """Asks each edge proxy each second whether it is ready; passes new connections to those that are in."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {proxy: 2 for proxy in fleet.proxies}  # out until a first 200

    async def watch(self):
        while True:
            await asyncio.gather(*(self._ask(proxy) for proxy in self.fleet.proxies))
            await asyncio.sleep(1.0)

    async def _ask(self, proxy):
        answer = await call(f"{proxy.address}:{self.fleet.readiness}", "GET", "/-/ready")
        self.misses[proxy] = 0 if answer is not None and answer.status == 200 else self.misses[proxy] + 1

    def choose(self, draw):
        ready = [proxy for proxy in self.fleet.proxies if self.misses[proxy] < 2]
        return draw.choice(ready or self.fleet.proxies)


class Clients:
    """Requests at a steady rate; each may be tried again twice within its deadline, as PROTOCOL.md allows."""

    KINDS = (("GET", "/catalogue/", "read_only", 2.0, 0.6), ("POST", "/bookings/", "writing", 2.5, 0.27),
             ("GET", "/bundles/", "fetch_down", 2.0, 0.13))

    def __init__(self, fleet, platform, rate):
        self.fleet, self.platform, self.rate = fleet, platform, rate
        self.draw = random.Random(11)
        self.requests = []  # (when sent, kind, served, statuses)
        self.stopping = False

    async def play(self):
        under_way = set()
        number = 0
        while not self.stopping:
            number += 1
            task = asyncio.get_running_loop().create_task(self._request(number))
            under_way.add(task)
            task.add_done_callback(under_way.discard)
            await asyncio.sleep(self.draw.expovariate(self.rate))
        while under_way:
            await asyncio.gather(*under_way)

    async def _request(self, number):
        method, path, kind, deadline, _ = self.draw.choices(self.KINDS, [each[4] for each in self.KINDS])[0]
        began, sent, statuses, served = time.monotonic(), self.fleet.record.now(), [], False
        for attempt in range(3):
            left = began + deadline - time.monotonic()
            if left < 0.02:
                break
            status, retry_after = await self._try(method, path, f"c{number}.{attempt}", left)
            statuses.append(status)
            served = status == 200
            promised = status in (429, 503)
            if served or status in (400, 401, 404, 413, 431) or (kind == "writing" and not promised):
                break
            wait = retry_after if retry_after is not None else 0.1 * (attempt + 1)
            left = began + deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(wait, left / 3)))
        self.requests.append((sent, kind, served, statuses))

    async def _try(self, method, path, name, left):
        proxy = self.platform.choose(self.draw)
        writer = None
        try:
            async with asyncio.timeout(left):
                reader, writer = await asyncio.open_connection(proxy.address, self.fleet.front)
                writer.write(compose(f"{method} {path}{name} HTTP/1.1",
                                     {"Host": "archive.example", "X-Try-Id": name, "X-Time-Left": str(int(left * 1000)),
                                      "Connection": "close"}, b"b" * 300 if method == "POST" else b""))
                answer = await read_message(reader)
        except TimeoutError:
            return "deadline", None
        except (Closed, OSError):
            return "no answer", None
        finally:
            if writer is not None:
                writer.close()
        if answer.status == 200 and not answer.fields.get("x-server-seal", "").endswith(name):
            return "wrong seal", None
        after = answer.fields.get("retry-after")
        return answer.status, float(after) if after else None

    def share(self, since, until):
        """How many requests were sent in that time, and which part of them was served."""
        chosen = [served for sent, _, served, _ in self.requests if since <= sent < until]
        return len(chosen), (sum(chosen) / len(chosen) if chosen else 0.0)


def servers_of(fleet, layout):
    """`layout`: service: servers in each zone."""
    made = []
    for service, each in layout.items():
        for zone in ZONES:
            for _ in range(each):
                made.append(Server(fleet, len(made), service, zone))
    return made
