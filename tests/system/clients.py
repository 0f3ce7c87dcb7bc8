"""Clients: they ask a directory where to go, send requests, try again as told, and check what comes back."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import Optional
from urllib.parse import urlencode

from system import ledger, wire
from system.ledger import ClientTry, TryOutcome

DIRECTORY_TRIES = 3
DIRECTORY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
SURPLUS_WAIT_S = 0.002
MAX_ADDRESSES = 64
PROMISES = {408, 421, 429, 503}
FINAL_FAILURES = {400, 401, 404, 413, 431}


@dataclass
class ClientPlan:
    """Where a client stands. `directories` are ordered nearest first."""

    region: str
    zone: str
    directories: list
    ttl_max_s: float = 5.0
    seed: int = 1


@dataclass
class ClientRequest:
    """What a client wants; `tries` counts its own tries, each with an id of its own."""

    hostname: str
    target: str
    method: str = "GET"
    body: bytes = b""
    chunk_bytes: Optional[int] = None
    key: Optional[str] = None
    repeatable: bool = True
    deadline_s: float = 4.0
    tries: int = 3
    fresh: bool = True
    proper: bool = True
    extra_headers: list = field(default_factory=list)


@dataclass
class _Connection:
    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_until: float = 0.0
    last_try: Optional[ClientTry] = None


@dataclass
class Resolution:
    """A directory's answer as the client holds it."""

    addresses: list
    until: float


class ResolveError(Exception):
    """No directory gave a usable answer."""


class Client:
    """One client with at most one kept connection."""

    def __init__(self, plan, ledger):
        self.plan = plan
        self.ledger = ledger
        self.random = random.Random(plan.seed)
        self.failed = set()
        self.resolutions = {}
        self._kept = None

    async def resolve(self, hostname):
        """The front addresses for a host's name, from the cache while the answer counts."""
        held = self.resolutions.get(hostname)
        if held is not None and time.monotonic() < held.until:
            return held.addresses
        for directory in self.plan.directories[:DIRECTORY_TRIES]:
            resolution = await self.ask(directory, hostname)
            if resolution is not None:
                self.resolutions[hostname] = resolution
                self.failed.clear()
                return resolution.addresses
        if held is None:
            raise ResolveError(hostname)
        return held.addresses

    async def ask(self, directory, hostname):
        """One directory's answer, or None when it is none or lacks what it needs."""
        query = urlencode({"name": hostname, "region": self.plan.region, "zone": self.plan.zone})
        try:
            request = wire.Call(directory, "GET", f"/v1/resolve?{query}")
            answer = await wire.call(request, DIRECTORY_TIMEOUT_S)
            body = json.loads(answer.body) if answer.status == 200 else {}
            addresses = list(body.get("addresses", []))
            ttl_s = min(seconds(body.get("ttl", "")), self.plan.ttl_max_s)
        except (OSError, asyncio.TimeoutError, wire.WireError, ValueError):
            return None
        self.ledger.resolutions.append(ledger.Resolution(hostname, self.plan.region, addresses))
        if not 0 < len(addresses) <= MAX_ADDRESSES or ttl_s <= 0:
            return None
        return Resolution(addresses, time.monotonic() + ttl_s)

    async def request(self, wanted):
        """Sends a request, with further tries as allowed; returns its last ClientTry, or None without one."""
        began = time.monotonic()
        last = None
        for _ in range(wanted.tries):
            left_s = wanted.deadline_s - (time.monotonic() - began)
            if left_s <= 0:
                break
            last = await self._one_try(wanted, left_s, fresh=wanted.fresh or last is not None)
            if last is None:
                await asyncio.sleep(min(0.1, left_s))
                continue
            if not self._may_try_again(wanted, last):
                break
            await asyncio.sleep(self._pause(last, wanted.deadline_s - (time.monotonic() - began)))
        return last

    def _may_try_again(self, wanted, last):
        if last.outcome is TryOutcome.ANSWER:
            if last.status in FINAL_FAILURES or 200 <= last.status < 300:
                return False
            return wanted.repeatable or last.status in PROMISES
        return wanted.repeatable or last.outcome is TryOutcome.NO_CONNECTION

    def _pause(self, last, left_s):
        return max(0.0, min(last.retry_after_s, left_s / 3))

    async def request_at(self, gateway, wanted):
        """Sends one try straight to a gateway's front address, without the directory."""
        return await self._try_at(gateway, wanted, wanted.deadline_s, fresh=True)

    async def _one_try(self, wanted, left_s, fresh):
        try:
            addresses = await self.resolve(wanted.hostname)
        except ResolveError:
            return None
        usable = [address for address in addresses if address not in self.failed] or addresses
        return await self._try_at(self.random.choice(usable), wanted, left_s, fresh)

    async def _try_at(self, gateway, wanted, left_s, fresh):
        attempt = f"{self.random.getrandbits(64):016x}"
        connection = None if fresh else await self._reuse()
        entry = ClientTry(
            attempt=attempt,
            gateway=connection.gateway if connection else gateway,
            hostname=wanted.hostname,
            method=wanted.method,
            target=wanted.target,
            body_hash=wire.digest(wanted.body),
            key=wanted.key,
            repeatable=wanted.repeatable,
            sent=time.monotonic(),
            deadline_s=left_s,
            proper=wanted.proper,
        )
        self.ledger.tries.append(entry)
        try:
            if connection is None:
                connection = await self._connect(entry.gateway)
            await asyncio.wait_for(self._exchange(connection, wanted, entry, left_s), left_s)
        except OSError:
            entry.outcome = TryOutcome.NO_CONNECTION
        except asyncio.TimeoutError:
            entry.outcome = TryOutcome.TIMEOUT
        entry.ended = time.monotonic()
        if entry.outcome is not TryOutcome.ANSWER:
            self.failed.add(entry.gateway)
        if connection is not None:
            await self._leave(connection, wanted, entry)
        return entry

    async def _connect(self, gateway):
        address = wire.Address.parse(gateway)
        try:
            opening = asyncio.open_connection(address.ip, address.port, limit=wire.STREAM_LIMIT_BYTES)
            reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except asyncio.TimeoutError as error:
            raise ConnectionError("no connection in time") from error
        return _Connection(gateway, reader, writer)

    async def _exchange(self, connection, wanted, entry, left_s):
        """Writes the request while it reads the answer, which may come before the body is sent."""
        data = wire.encode_request(self._message(wanted, entry, left_s), wanted.chunk_bytes)
        writing = asyncio.create_task(_write(connection.writer, data))
        try:
            answer = await wire.read_answer(connection.reader, wanted.method)
        except wire.WireError as error:
            entry.outcome = {
                wire.WireFault.CLOSED: TryOutcome.CLOSED,
                wire.WireFault.CUT: TryOutcome.CUT,
                wire.WireFault.GARBLED: TryOutcome.GARBLED,
            }[error.fault]
            return
        finally:
            writing.cancel()
        entry.outcome = TryOutcome.ANSWER
        entry.status = answer.status
        entry.seal = answer.headers.get("X-Server-Seal")
        entry.answer_attempt = answer.headers.get("X-Attempt-Id")
        entry.answer_hash = wire.digest(answer.body)
        entry.retry_after_s = _number(answer.headers.get("Retry-After"))
        closing = answer.headers.has_token("Connection", "close")
        connection.idle_until = 0.0 if closing else time.monotonic() + _keep_alive_s(answer.headers)

    def _message(self, wanted, entry, left_s):
        headers = wire.Headers([("Host", wanted.hostname), ("X-Attempt-Id", entry.attempt)])
        headers.add("X-Time-Left-Ms", int(left_s * 1000))
        if wanted.key is not None:
            headers.add("Authorization", f"Bearer {wanted.key}")
        for name, value in wanted.extra_headers:
            headers.add(name, value)
        return wire.Request(wanted.method, wanted.target, headers, wanted.body)

    async def _leave(self, connection, wanted, entry):
        """Keeps the connection for the next request, or closes it after a look for bytes nobody asked for."""
        whole = entry.outcome is TryOutcome.ANSWER
        if whole and not wanted.fresh and connection.idle_until > time.monotonic():
            if self._kept is not None:
                await wire.close(self._kept.writer)
            self._kept = connection
            connection.last_try = entry
            return
        if whole:
            entry.surplus = await _surplus(connection.reader)
        connection.writer.close()

    async def _reuse(self):
        """The kept connection while it may be used, or None."""
        connection, self._kept = self._kept, None
        if connection is None:
            return None
        connection.last_try.surplus = await _surplus(connection.reader)
        ended = connection.reader.at_eof() or time.monotonic() > connection.idle_until
        if connection.last_try.surplus or ended:
            connection.writer.close()
            return None
        return connection

    async def close(self):
        """Closes the kept connection after a last look at it."""
        connection = await self._reuse()
        if connection is not None:
            connection.writer.close()


async def _write(writer, data):
    try:
        writer.write(data)
        await writer.drain()
    except OSError:
        pass


async def _surplus(reader):
    """Bytes that have arrived though no request is waiting."""
    try:
        return await asyncio.wait_for(reader.read(4096), SURPLUS_WAIT_S)
    except (asyncio.TimeoutError, OSError):
        return b""


def seconds(text):
    """The seconds in a time such as `1500ms` or `2.5s`; fails with ValueError."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    if text.endswith("s"):
        return float(text[:-1])
    raise ValueError(f"no time: {text!r}")


def _number(text):
    try:
        return float(text)
    except (TypeError, ValueError):
        return 0.0


def _keep_alive_s(headers):
    """How long an idle connection may be used: the time in Keep-Alive less a little, or ten seconds."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout":
            return max(0.0, _number(value) - 0.2)
    return 10.0
