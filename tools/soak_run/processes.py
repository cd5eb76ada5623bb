"""The gateway's processes as children, each on an address of loopback of its own. Only what was started here is signalled."""

import asyncio
import os
import shutil
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

ZONES = ("north", "south", "west")
GRACE = 6.0  # seconds from SIGTERM to the end
DRAIN = 2.0
BEAT_EVERY = 1.0
FRONT, READY, CONTROL, INSIDE_FIRST, INSIDE_LAST, SERVER = 0, 1, 2, 3, 10, 11  # ports, from the base


@dataclass
class Process:
    """One process of the gateway, and the signals that it got."""

    role: str
    number: int
    address: str
    child: asyncio.subprocess.Process | None = None
    terminated_at: float | None = None
    killed: bool = False
    statuses: list[int] = field(default_factory=list)

    @property
    def name(self) -> str:
        """As in its settings."""
        return f"{self.role}-{self.number}"

    @property
    def zone(self) -> str:
        """Zones in turn."""
        return ZONES[self.number % len(ZONES)]

    @property
    def running(self) -> bool:
        """Whether it has a child that hasn't been seen to end."""
        return self.child is not None and self.child.returncode is None


def _governs_signals(pid: int, program: Path) -> bool:
    """Whether the process runs the program (before, it is a copy of this one, with its signals blocked) and blocks or
    catches SIGTERM."""
    try:
        if not os.path.samefile(f"/proc/{pid}/exe", program):
            return False
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in status.splitlines() if line.startswith(("SigBlk:", "SigCgt:"))]
    return any(mask >> (signal.SIGTERM - 1) & 1 for mask in masks)


async def _begun(child: asyncio.subprocess.Process, program: Path) -> None:
    """Waits until the program's own code has taken over its signals: until then no program can do anything about one."""
    loop = asyncio.get_running_loop()
    until = loop.time() + GRACE
    while child.returncode is None and loop.time() < until and not _governs_signals(child.pid, program):
        await asyncio.sleep(0.001)


class Fleet:
    """Starts, signals and ends the processes."""

    def __init__(self, program: Path, controllers: int, proxies: int, base_port: int):
        self.program = program
        self.base = base_port
        self.folder = Path(tempfile.mkdtemp(prefix="marldale-soak-"))
        self.controllers = [Process("controller", k, f"127.1.{k // 200}.{k % 200 + 1}") for k in range(controllers)]
        self.proxies = [Process("edge-proxy", k, f"127.2.{k // 200}.{k % 200 + 1}") for k in range(proxies)]
        self.started: set[str] = set()
        self.closing = False
        self.unexpected_ends: list[str] = []

    def port(self, offset: int) -> int:
        """A port of this soak."""
        return self.base + offset

    def all(self) -> list[Process]:
        """Controllers, then proxies."""
        return [*self.controllers, *self.proxies]

    def settings(self, process: Process) -> str:
        """The settings file's text."""
        first = process.name not in self.started
        control = process.role == "controller"
        listen = (f"  control: \"{process.address}:{self.port(CONTROL)}\"\n" if control else
                  f"  front: \"{process.address}:{self.port(FRONT)}\"\n  readiness: \"{process.address}:{self.port(READY)}\"\n")
        zones = "".join(f"  {zone}: \"home\"\n" for zone in ZONES)
        seeds = "".join(f"  - \"{seed.address}:{self.port(CONTROL)}\"\n" for seed in self.controllers[:3])
        data = f"data_folder: \"{self.folder / ('data-' + process.name)}\"\n" if control else ""
        return (f"node_name: \"{process.name}\"\nrole: \"{process.role}\"\nip_address: \"{process.address}\"\n"
                f"zone: \"{process.zone}\"\nregion: \"home\"\nzones:\n{zones}listen_on:\n{listen}"
                f"inside_ports:\n  - {self.port(INSIDE_FIRST)}\n  - {self.port(INSIDE_LAST)}\nseed_nodes:\n{seeds}"
                f"first_run: {'true' if first else 'false'}\n"
                "limits:\n  processor_share: 1\n  cores: 1\n  memory_mb: 260\n  open_files: 1024\n  disk_mb: 256\n"
                f"{data}beat_every: \"{int(BEAT_EVERY * 1000)}ms\"\nbounds:\n  drain: \"{int(DRAIN * 1000)}ms\"\n"
                f"  grace: \"{int(GRACE)}s\"\n  retry_ratio: 0.2\n  retry_window: \"10s\"\n  extra_tries: 200\n"
                "  cold_excess: 1.5\n  cold_margin: 5\n")

    async def start(self, process: Process) -> None:
        """Starts it; its log goes on where it was."""
        path = self.folder / f"{process.name}.yaml"
        path.write_text(self.settings(process), encoding="utf-8")
        if process.role == "controller":
            (self.folder / f"data-{process.name}").mkdir(exist_ok=True)
        self.started.add(process.name)
        with open(self.folder / f"{process.name}.log", "ab") as log:
            child = await asyncio.create_subprocess_exec(
                str(self.program), process.role, env={"MARLDALE_CONFIG": str(path)}, stderr=log, stdout=log)
        await _begun(child, self.program)
        process.child = child
        process.terminated_at = None
        process.killed = False
        asyncio.get_running_loop().create_task(self._watch(process, child))

    async def _watch(self, process: Process, child: asyncio.subprocess.Process) -> None:
        """Notes an end that no signal asked for."""
        status = await child.wait()
        if process.child is child and process.terminated_at is None and not process.killed and not self.closing:
            self.unexpected_ends.append(f"{process.name} ended by itself with {status}")

    @staticmethod
    def signal(process: Process, number: signal.Signals, now: float) -> None:
        """Signals it if it runs; the first SIGTERM is noted."""
        if not process.running or process.child is None:
            return
        if number == signal.SIGTERM and process.terminated_at is None:
            process.terminated_at = now
        if number == signal.SIGKILL:
            process.killed = True
        process.child.send_signal(number)

    @staticmethod
    async def ended(process: Process) -> int:
        """Waits until it has ended; kills it a second after its grace. The exit status, or minus the signal."""
        if process.child is None:
            return 0
        try:
            status = await asyncio.wait_for(process.child.wait(), GRACE + 1.0)
        except asyncio.TimeoutError:
            process.child.kill()
            status = await process.child.wait()
        process.statuses.append(status)
        return status

    async def close(self, keep: bool) -> None:
        """Kills what still runs; removes the folder, unless its logs are wanted."""
        self.closing = True
        for process in self.all():
            if process.running and process.child is not None:
                process.child.kill()
                await process.child.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
