"""What was seen on the sockets of clients and servers, and what of it breaks a rule."""

from dataclasses import dataclass, field

from .processes import DRAIN, Process

LOSS_SLACK = 0.2  # a request that crosses a close and isn't passed on is no loss
IN_TOUCH = 3.0  # after a trouble of the controllers the bound on departures rests for so long


@dataclass
class Run:
    """One arrival of a request at a server."""

    server: str
    at: float
    ended: float | None = None


@dataclass
class Request:
    """One try of a client."""

    name: str
    writing: bool
    proxy: Process
    incarnation: int  # of the proxy: how often it had been started
    sent_at: float
    runs: list[Run] = field(default_factory=list)
    status: int = 0  # 0: no whole answer
    closed_at: float | None = None
    terminated_at: float | None = None  # of its proxy's process, when the request ended
    killed: bool = False  # its proxy was killed


@dataclass
class Record:
    """Everything seen in one soak; the clock is the event loop's."""

    requests: dict[str, Request] = field(default_factory=dict)
    departed: dict[str, float] = field(default_factory=dict)  # server: when its departure was acknowledged
    control_trouble: list[float] = field(default_factory=list)  # moments of kills, freezes and starts
    broken: list[str] = field(default_factory=list)
    departures: int = 0

    def run(self, name: str, server: str, at: float) -> Run:
        """A request has reached a server, which begins work on it."""
        run = Run(server, at)
        request = self.requests.get(name)
        if request is None:
            self.broken.append(f"UNASKED: {server} got {name}, which nobody sent")
            return run
        request.runs.append(run)
        if request.writing and len(request.runs) > 1:
            self.broken.append(f"TWICE: {name} ran at {[each.server for each in request.runs]}")
        if request.status in (429, 503):
            self.broken.append(f"REFUSED: {name} ran after a promise that it never will")
        self._check_departure(request, server, at)
        return run

    def _check_departure(self, request: Request, server: str, at: float) -> None:
        since = self.departed.get(server)
        if since is None or at - since <= DRAIN or request.sent_at < since:
            return
        if any(0 <= at - trouble <= IN_TOUCH for trouble in self.control_trouble):
            return
        self.broken.append(f"DRAIN: {request.name} by {request.proxy.name} reached {server} "
                           f"{at - since:.2f} s after its departure was acknowledged")

    def answered(self, request: Request, status: int, server_seal: str) -> None:
        """A whole answer has come."""
        request.status = status
        if status in (429, 503) and request.runs:
            self.broken.append(f"REFUSED: {request.name} got {status} and has run")
        if status == 200 and server_seal != f"s.{request.name}":
            self.broken.append(f"MIXED: {request.name} got an answer sealed {server_seal!r}")

    def unanswered(self, request: Request, at: float) -> None:
        """The connection ended without an answer."""
        request.closed_at = at
        request.terminated_at = request.proxy.terminated_at
        request.killed = request.proxy.killed
        if request.killed or self._excused(request):
            return
        after = "" if request.terminated_at is None else f", sent {request.sent_at - request.terminated_at:.2f} s after SIGTERM"
        self.broken.append(f"LOST: {request.name} by {request.proxy.name} got neither an answer nor a refusal{after}, "
                           f"closed {at - request.sent_at:.2f} s later, runs {len(request.runs)}")

    @staticmethod
    def _excused(request: Request) -> bool:
        """It crossed the close of its connection, and no server had it."""
        assert request.closed_at is not None
        return not request.runs and request.closed_at - request.sent_at <= LOSS_SLACK
