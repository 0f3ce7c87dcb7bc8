"""HTTP/1.1 messages as the stand-ins speak them, and the ways in which a peer can break one.

Source of the message rules: RFC 9112. Bounds of time are the caller's: nothing here waits by itself.
"""

import asyncio
import enum
import hashlib
from dataclasses import dataclass, field

STREAM_LIMIT_BYTES = 1 << 20


class WireFault(enum.Enum):
    """How a message failed to come."""

    CLOSED = "closed before the first byte"
    CUT = "ended inside the message"
    GARBLED = "bytes that are no message"


class WireError(Exception):
    """A message that did not come whole."""

    def __init__(self, fault, detail=""):
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault


class Headers:
    """The header fields of one message, in their order; names are compared without case."""

    def __init__(self, pairs=()):
        self.pairs = list(pairs)

    def get(self, name, default=None):
        """The first value of the field, or the default."""
        for key, value in self.pairs:
            if key.lower() == name.lower():
                return value
        return default

    def add(self, name, value):
        """Appends one field."""
        self.pairs.append((name, str(value)))

    def has_token(self, name, token):
        """Whether the list in the field names the token."""
        return token in [part.strip().lower() for part in self.get(name, "").split(",")]

    def encode(self):
        """The fields as they go over the wire, without the empty line."""
        return b"".join(f"{key}: {value}\r\n".encode("latin-1") for key, value in self.pairs)


@dataclass
class Request:
    """A whole request."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    ip: str
    port: int

    @staticmethod
    def parse(text):
        """The address in `ip:port`."""
        ip, port = text.rsplit(":", 1)
        return Address(ip, int(port))

    def __str__(self):
        return f"{self.ip}:{self.port}"


def digest(body):
    """A short hash of a body, to compare bodies by."""
    return hashlib.sha256(body).hexdigest()[:16]


async def read_head(reader, first_bytes):
    """The first line and the headers of a message that must begin with one of `first_bytes`."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise _broken_head(error.partial, first_bytes) from error
    except asyncio.LimitOverrunError as error:
        raise WireError(WireFault.GARBLED, "endless head") from error
    except OSError as error:
        raise WireError(WireFault.CLOSED, str(error)) from error
    lines = block[:-4].decode("latin-1").split("\r\n")
    pairs = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise WireError(WireFault.GARBLED, line[:60])
        pairs.append((name, value.strip()))
    return lines[0], Headers(pairs)


def _broken_head(partial, first_bytes):
    if not partial:
        return WireError(WireFault.CLOSED)
    if any(first.startswith(partial[: len(first)]) for first in first_bytes):
        return WireError(WireFault.CUT, "inside the head")
    return WireError(WireFault.GARBLED, repr(partial[:40]))


async def _read_exactly(reader, count):
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise WireError(WireFault.CUT, "inside the body") from error


async def _read_line(reader):
    try:
        return (await reader.readuntil(b"\r\n"))[:-2]
    except (asyncio.IncompleteReadError, OSError) as error:
        raise WireError(WireFault.CUT, "inside the chunks") from error
    except asyncio.LimitOverrunError as error:
        raise WireError(WireFault.GARBLED, "endless chunk line") from error


async def _read_chunks(reader):
    body = bytearray()
    while True:
        size_text = (await _read_line(reader)).split(b";")[0]
        try:
            size = int(size_text, 16)
        except ValueError as error:
            raise WireError(WireFault.GARBLED, "size of a chunk") from error
        if size == 0:
            break
        body += await _read_exactly(reader, size)
        if await _read_exactly(reader, 2) != b"\r\n":
            raise WireError(WireFault.GARBLED, "end of a chunk")
    while await _read_line(reader):
        pass
    return bytes(body)


async def read_body(reader, headers, until_close):
    """The body of a message; `until_close`: one without a length lasts until the connection ends."""
    if headers.has_token("Transfer-Encoding", "chunked"):
        return await _read_chunks(reader)
    length = headers.get("Content-Length")
    if length is not None:
        if not length.isdigit():
            raise WireError(WireFault.GARBLED, "length")
        return await _read_exactly(reader, int(length))
    if not until_close:
        return b""
    try:
        return await reader.read(-1)
    except OSError as error:
        raise WireError(WireFault.CUT, "inside the body") from error


async def read_request(reader):
    """The next request of a connection; fails with WireError."""
    line, headers = await read_head(reader, (b"GET ", b"POST ", b"PUT ", b"DELETE "))
    parts = line.split(" ")
    if len(parts) != 3 or not parts[2].startswith("HTTP/1."):
        raise WireError(WireFault.GARBLED, line[:60])
    body = await read_body(reader, headers, until_close=False)
    return Request(parts[0], parts[1], headers, body)


async def read_answer(reader, method="GET"):
    """The next final answer of a connection; interim 1xx answers are passed over. Fails with WireError."""
    while True:
        line, headers = await read_head(reader, (b"HTTP/1.1 ", b"HTTP/1.0 "))
        parts = line.split(" ", 2)
        if not parts[0].startswith("HTTP/1.") or len(parts) < 2 or not parts[1].isdigit():
            raise WireError(WireFault.GARBLED, line[:60])
        status = int(parts[1])
        if status >= 200:
            break
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers)
    return Answer(status, headers, await read_body(reader, headers, until_close=True))


def encode_request(request, chunk_bytes=None):
    """The bytes of a request; with `chunk_bytes` its body goes in chunks of that size."""
    headers = Headers(request.headers.pairs)
    body = request.body
    if chunk_bytes:
        headers.add("Transfer-Encoding", "chunked")
        body = encode_chunks(request.body, chunk_bytes)
    elif request.body or request.method in ("POST", "PUT"):
        headers.add("Content-Length", len(request.body))
    line = f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")
    return line + headers.encode() + b"\r\n" + body


def encode_chunks(body, chunk_bytes):
    """A body in chunks of at most the given size, with the closing chunk."""
    pieces = []
    for start in range(0, len(body), chunk_bytes):
        piece = body[start : start + chunk_bytes]
        pieces.append(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
    return b"".join(pieces) + b"0\r\n\r\n"


def encode_answer(answer, length=None):
    """The bytes of an answer; `length` overrides the length it claims."""
    headers = Headers(answer.headers.pairs)
    headers.add("Content-Length", len(answer.body) if length is None else length)
    return f"HTTP/1.1 {answer.status} Status\r\n".encode() + headers.encode() + b"\r\n" + answer.body


async def close(writer):
    """Closes a connection, whatever state it is in."""
    writer.close()
    try:
        await writer.wait_closed()
    except (OSError, asyncio.CancelledError):
        pass


@dataclass
class Call:
    """One call on a connection of its own, as operator and platform make them."""

    address: Address
    method: str
    target: str
    body: bytes = b""
    headers: list = field(default_factory=list)


async def call(request, timeout_s):
    """Makes the call and returns the Answer; fails with OSError, TimeoutError or WireError."""
    return await asyncio.wait_for(_call(request), timeout_s)


async def _call(request):
    reader, writer = await asyncio.open_connection(
        request.address.ip, request.address.port, limit=STREAM_LIMIT_BYTES
    )
    try:
        headers = Headers([("Host", str(request.address)), ("Connection", "close"), *request.headers])
        writer.write(encode_request(Request(request.method, request.target, headers, request.body)))
        await writer.drain()
        return await read_answer(reader, request.method)
    finally:
        writer.close()
