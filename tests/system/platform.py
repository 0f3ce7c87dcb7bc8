"""The platform: the list of hosts, with its lag, pages and rate limit, and the polls of readiness."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from system import wire

READY_POLL_S = 1.0
READY_TIMEOUT_S = 1.0


@dataclass
class PlatformPlan:
    """How the platform behaves. Times are in seconds."""

    address: wire.Address
    max_lag_s: float = 0.4
    rate_per_s: float = 40.0
    page_size: int = 4
    round_trip_s: float = 0.0  # of a call, half of it before the list is looked at


@dataclass
class _Snapshot:
    moment: float
    hosts: list


@dataclass
class PlatformCounts:
    """Calls of the gateways, summed."""

    calls: int = 0
    over_rate: int = 0
    ready_polls: int = 0
    not_ready: int = 0


@dataclass
class Platform:
    """The list as it stood `max_lag_s` ago. `publish` after every change of a host."""

    plan: PlatformPlan
    hosts: list = field(default_factory=list)
    counts: PlatformCounts = field(default_factory=PlatformCounts)
    ready: dict = field(default_factory=dict)
    first_page: asyncio.Event = field(default_factory=asyncio.Event)  # set whenever a first page is answered
    _snapshots: list = field(default_factory=list)
    _tokens: float = 0.0
    _refilled: float = 0.0
    _server: object = None
    _polls: list = field(default_factory=list)

    async def start(self):
        """Begins to answer, and shows the hosts of this moment without a lag."""
        self._tokens = self.plan.rate_per_s
        self._refilled = time.monotonic()
        self._snapshots = [_Snapshot(0.0, self._list_now())]
        self._server = await asyncio.start_server(self._serve, self.plan.address.ip, self.plan.address.port)

    async def stop(self):
        """Ends the polls and the list."""
        for poll in self._polls:
            poll.cancel()
        await asyncio.gather(*self._polls, return_exceptions=True)
        if self._server is not None:
            self._server.close()

    def publish(self):
        """Takes the hosts of this moment into the list; it shows them after the lag."""
        self._snapshots.append(_Snapshot(time.monotonic(), self._list_now()))
        for host in self.hosts:
            if host.alive and host.draining:
                host.ledger.leaving.setdefault(host.instance, time.monotonic() + self.plan.max_lag_s)

    def watch(self, readiness):
        """Polls a gateway's readiness address from now on; `ready` holds the last answer."""
        self._polls.append(asyncio.create_task(self._poll(readiness)))

    def _list_now(self):
        alive = [host for host in self.hosts if host.alive]
        return [(host, host.instance, "draining" if host.draining else "ready") for host in alive]

    def _list_seen(self):
        seen = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.moment <= time.monotonic() - self.plan.max_lag_s:
                seen = snapshot
        return seen.hosts

    def _entry(self, host, instance, state):
        return {
            "backend": host.plan.service,
            "address": str(host.plan.address),
            "zone": host.plan.zone,
            "epoch": "v1",
            "capacity": host.plan.capacity,
            "state": state,
            "cold_left": f"{int(host.cold_left_s * 1000)}ms",
            "id": instance,
        }

    def _take_token(self):
        now = time.monotonic()
        refill = (now - self._refilled) * self.plan.rate_per_s
        self._tokens = min(self.plan.rate_per_s, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_request(reader)
                await asyncio.sleep(self.plan.round_trip_s / 2)
                answer = self.answer(request)
                await asyncio.sleep(self.plan.round_trip_s / 2)
                writer.write(wire.encode_answer(answer))
                await writer.drain()
                if request.headers.has_token("Connection", "close"):
                    break
        except (OSError, wire.WireError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, request):
        """The answer to one call for the list."""
        self.counts.calls += 1
        parts = urlsplit(request.target)
        if request.method != "GET" or parts.path != "/instances":
            return wire.Answer(404, wire.Headers())
        if not self._take_token():
            self.counts.over_rate += 1
            return wire.Answer(429, wire.Headers())
        query = parse_qs(parts.query)
        start = _page_start(query.get("page_token", [None])[0])
        if start is None:
            return wire.Answer(400, wire.Headers())
        if start == 0:
            self.first_page.set()
        zone = query.get("zone", [None])[0]
        entries = [self._entry(*seen) for seen in self._list_seen()]
        entries = [entry for entry in entries if zone in (None, entry["zone"])]
        page = entries[start : start + self.plan.page_size]
        end = start + len(page)
        by_zone = {}
        for entry in page:
            by_zone.setdefault(entry["zone"], []).append(entry)
        body = {"instances": by_zone, "next_token": _page_token(end) if end < len(entries) else None}
        headers = wire.Headers([("Content-Type", "application/json")])
        return wire.Answer(200, headers, json.dumps(body).encode())

    async def _poll(self, readiness):
        while True:
            self.counts.ready_polls += 1
            try:
                answer = await wire.call(wire.Call(readiness, "GET", "/v1/ready"), READY_TIMEOUT_S)
                self.ready[readiness] = answer.status == 200
            except (OSError, asyncio.TimeoutError, wire.WireError):
                self.ready[readiness] = False
            if not self.ready[readiness]:
                self.counts.not_ready += 1
            await asyncio.sleep(READY_POLL_S)


def _page_token(start):
    """A token for the page that begins at this entry. Its sign `=` has to be escaped in a query."""
    return "p-" + base64.b64encode(f"{start:05d}".encode()).decode()


def _page_start(token):
    """The first entry of the page, or None when the token is none of ours."""
    if token is None:
        return 0
    try:
        return int(base64.b64decode(token.removeprefix("p-"), validate=True))
    except ValueError:
        return None
