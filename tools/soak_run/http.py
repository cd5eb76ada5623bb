"""The little HTTP/1.1 that the soak's parties speak."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer, whole."""

    start: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def path(self) -> str:
        """Of a request."""
        return self.start.split(" ")[1]


class Closed(Exception):
    """The connection ended; `begun` says whether a part of a message had come."""

    def __init__(self, begun: bool):
        super().__init__("closed")
        self.begun = begun


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a length. Raises `Closed` if the connection ends before it is whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise Closed(bool(error.partial)) from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Closed(False) from error
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    message = Message(lines[0], {name.lower(): value for name, value in fields.items()})
    length = int(message.fields.get("content-length", "0"))
    try:
        message.body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed(True) from error
    return message


def compose(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A message's bytes; the length is added."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def call(address: str, method: str, path: str, body: bytes = b"", within: float = 1.0) -> Message | None:
    """One call on a connection of its own; a redirect is followed twice. None: no answer came in time."""
    for _ in range(3):
        try:
            answer = await asyncio.wait_for(_call_once(address, method, path, body), within)
        except (OSError, asyncio.TimeoutError, Closed):
            return None
        if answer.status != 307:
            return answer
        address = answer.fields["location"].removeprefix("http://").split("/", 1)[0]
    return None


async def _call_once(address: str, method: str, path: str, body: bytes) -> Message:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(compose(f"{method} {path} HTTP/1.1", {"Host": address, "Content-Type": "application/json",
                                                           "Connection": "close"}, body))
        return await read_message(reader)
    finally:
        writer.close()
