"""Signals, restarts, releases and changes, in series and overlapping, all from one seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from .operator import Operator
from .processes import Fleet, Process
from .record import Record
from .servers import Server

Trouble = Callable[[], Awaitable[None]]


class Troubles:
    """Draws and plays them."""

    def __init__(self, fleet: Fleet, record: Record, operator: Operator, draw: random.Random, servers: list[Server],
                 add_server: Callable[[str], Awaitable[Server]]):
        self.fleet, self.record, self.operator, self.draw = fleet, record, operator, draw
        self.servers, self.add_server = servers, add_server
        self.told: list[str] = []

    async def play(self, seconds: float) -> None:
        """A trouble every second or so, each in a task of its own, until the time is over; then all end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        under_way: list[asyncio.Task[None]] = [loop.create_task(self._changes(until))]
        kinds: list[tuple[str, int, Trouble]] = [
            ("roll of proxies", 4, self._roll_proxies), ("hup", 2, self._hup), ("release", 4, self._release),
            ("controller term", 2, self._terminate_controller), ("controller kill", 2, self._kill_controller),
            ("controller freeze", 1, self._freeze_controller), ("all controllers killed", 1, self._kill_controllers),
        ]
        while loop.time() < until:
            name, _, trouble = self.draw.choices(kinds, [weight for _, weight, _ in kinds])[0]
            self.told.append(f"{loop.time():.2f} {name}")
            under_way.append(loop.create_task(trouble()))  # type: ignore[arg-type]
            await asyncio.sleep(self.draw.uniform(0.2, 2.0))
        await asyncio.gather(*under_way)

    async def _changes(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self.operator.change()
            await asyncio.sleep(self.draw.expovariate(1 / 0.2))

    # ---- proxies ----

    async def _roll_proxies(self) -> None:
        """A part of the proxies, some at a time; rolls may overlap."""
        chosen = [proxy for proxy in self.fleet.proxies if self.draw.random() < 0.6]
        gap = self.draw.uniform(0.02, 0.5) * 6 / max(6, len(chosen))
        await asyncio.gather(*(self._restart_proxy(proxy, k * gap) for k, proxy in enumerate(chosen)))

    async def _restart_proxy(self, proxy: Process, after: float) -> None:
        await asyncio.sleep(after)
        if not proxy.running or proxy.terminated_at is not None:
            return  # another roll has it
        loop = asyncio.get_running_loop()
        self.fleet.signal(proxy, signal.SIGTERM, loop.time())
        for number in self.draw.choice(((), (), (signal.SIGHUP,), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM))):
            await asyncio.sleep(self.draw.uniform(0, 4))
            self.fleet.signal(proxy, number, loop.time())
        await self._ended_in_order(proxy)
        await self.fleet.start(proxy)
        if self.draw.random() < 0.1:  # at once again, mostly before its first configuration
            await asyncio.sleep(self.draw.uniform(0, 0.05))
            if proxy.terminated_at is not None:
                return  # another roll has it
            self.fleet.signal(proxy, self.draw.choice((signal.SIGHUP, signal.SIGTERM)), loop.time())
            if proxy.terminated_at is not None:
                await self._ended_in_order(proxy)
                await self.fleet.start(proxy)

    async def _ended_in_order(self, process: Process) -> None:
        status = await self.fleet.ended(process)
        if status != 0:
            self.record.broken.append(f"END: {process.name} ended with {status} after SIGTERM")

    async def _hup(self) -> None:
        for process in self.fleet.all():
            if self.draw.random() < 0.4:
                self.fleet.signal(process, signal.SIGHUP, asyncio.get_running_loop().time())

    # ---- controllers ----

    def _calm_controllers(self) -> list[Process]:
        return [each for each in self.fleet.controllers if each.running and each.terminated_at is None]

    def _one_controller(self) -> Process | None:
        """One that may go while a majority stays."""
        calm = self._calm_controllers()
        return self.draw.choice(calm) if len(calm) == len(self.fleet.controllers) else None

    def _trouble(self) -> None:
        self.record.control_trouble.append(asyncio.get_running_loop().time())

    async def _terminate_controller(self) -> None:
        controller = self._one_controller()
        if controller is None:
            return
        self._trouble()
        self.fleet.signal(controller, signal.SIGTERM, asyncio.get_running_loop().time())
        await self._ended_in_order(controller)
        await asyncio.sleep(self.draw.uniform(0, 3))
        await self.fleet.start(controller)
        self._trouble()

    async def _kill_controller(self) -> None:
        controller = self._one_controller()
        if controller is None:
            return
        self._trouble()
        self.fleet.signal(controller, signal.SIGKILL, asyncio.get_running_loop().time())
        await self.fleet.ended(controller)
        await asyncio.sleep(self.draw.uniform(0, 3))
        await self.fleet.start(controller)
        self._trouble()

    async def _kill_controllers(self) -> None:
        calm = self._calm_controllers()
        if len(calm) < len(self.fleet.controllers):
            return
        self._trouble()
        for controller in calm:
            self.fleet.signal(controller, signal.SIGKILL, asyncio.get_running_loop().time())
        for controller in calm:
            await self.fleet.ended(controller)
        await asyncio.sleep(self.draw.uniform(0, 1))
        for controller in calm:
            await self.fleet.start(controller)
        self._trouble()

    async def _freeze_controller(self) -> None:
        controller = self._one_controller()
        if controller is None:
            return
        loop = asyncio.get_running_loop()
        self._trouble()
        self.fleet.signal(controller, signal.SIGSTOP, loop.time())
        for _ in range(self.draw.randint(1, 4)):
            await asyncio.sleep(1.0)
            self._trouble()
        self.fleet.signal(controller, signal.SIGCONT, loop.time())
        self._trouble()

    # ---- servers ----

    async def _release(self) -> None:
        """Some servers are replaced, one after the other: the new one first."""
        for server in self.draw.sample(self.servers, min(len(self.servers) // 3, self.draw.randint(1, 4))):
            if server.emptying or server.leaving or server not in self.servers:
                continue
            self.servers.remove(server)
            self.servers.append(await self.add_server(server.service))
            await asyncio.sleep(self.draw.uniform(0.1, 1.0))
            await server.leave()
