"""A host's late copy of a refusal is taken for the answer to the second attempt of the same request.

Three control planes and four gateways of the program, with the project's stand-ins for hosts, platform and operator.
Clients send requests that may run once only on a route with one home region, in which the service has one host.
That host is often full. In two spells of five seconds it sends a copy of some of its answers in the place where the
next answer is due.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests"))

from system import wire  # noqa: E402
from system.hosts import Host  # noqa: E402
from system.ledger import OrderOutcome  # noqa: E402
from system.world import ACME_KEY, SHOP, World, first_configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOME = "south"
SERVICE = "orders"
LATE_SHARE = 0.03  # of the host's answers: the largest x of the bench's `garble` with `extra late`
TROUBLE_S = 5.0  # its largest for_s
SPELLS = 2
PAUSE_S = 1.0  # before, between and after the spells
REQUESTS_PER_S = 250  # at each gateway
CONNECTIONS = 12  # of clients at each gateway
DEADLINE_MS = 4000
MAX_TRIES = 3  # one more than the repeats of the site mpbpb-quotes
PROMISES = {408, 421, 429, 503}  # the request has not run and never will
READY_BOUND_S = 15.0


class LateHost(Host):
    """A host that writes down what it does, and that sends a late copy of a share of its answers."""

    late_share = 0.0
    record = None

    def note(self, text):
        """Adds one line to the record."""
        if self.record is not None:
            self.record.append((time.monotonic(), f"host {self.instance} {text}"))

    async def _run(self, connection, request):
        self.note(f"runs {request.headers.get('X-Attempt-Id')} on connection {id(connection) % 100000}")
        return await super()._run(connection, request)

    async def _send(self, connection, request, answer):
        attempt = request.headers.get("X-Attempt-Id")
        is_copied = attempt and random.random() < self.late_share
        copied = " before it the late copy" if connection.late else ""
        self.note(f"answers {attempt} {answer.status} on connection {id(connection) % 100000}{copied}")
        goes_on = await super()._send(connection, request, answer)
        if is_copied and goes_on:
            connection.late = wire.encode_answer(answer)
            self.note(f"keeps a late copy of {answer.status} to {attempt}")
        return goes_on


class Load:
    """Clients of one gateway: kept connections that take turns, with one try for each request."""

    def __init__(self, gateway, tries, record):
        self.gateway = gateway
        self.tries = tries
        self.record = record
        self.idle = []

    async def send(self, number):
        """One request, on a kept connection if there is one."""
        attempt = f"{random.getrandbits(64):016x}"
        headers = wire.Headers([("Host", SHOP), ("X-Attempt-Id", attempt), ("X-Time-Left-Ms", DEADLINE_MS)])
        headers.add("Authorization", f"Bearer {ACME_KEY}")
        request = wire.Request("POST", f"/write/{number}", headers, f"order {number}".encode())
        self.tries[attempt] = None
        self.record.append((time.monotonic(), f"client sends {attempt} to {self.gateway}"))
        connection = self.idle.pop() if self.idle else await self.connect()
        if connection is None:
            return
        reader, writer = connection
        try:
            writer.write(wire.encode_request(request))
            answer = await asyncio.wait_for(wire.read_answer(reader, "POST"), DEADLINE_MS / 1000)
        except (OSError, wire.WireError, asyncio.TimeoutError):
            writer.close()
            return
        self.tries[attempt] = answer.status
        self.record.append((time.monotonic(), f"client gets {answer.status} for {attempt}"))
        if answer.headers.has_token("Connection", "close") or len(self.idle) >= CONNECTIONS:
            writer.close()
        else:
            self.idle.append(connection)

    async def connect(self):
        """A new connection, or None."""
        try:
            return await asyncio.open_connection(self.gateway.ip, self.gateway.port)
        except OSError:
            return None

    async def run(self, until, first):
        """Sends requests at an even rate until the moment `until`."""
        sent = []
        number = first
        while time.monotonic() < until:
            sent.append(asyncio.create_task(self.send(number)))
            number += 1
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*sent)
        for _, writer in self.idle:
            writer.close()


def configuration():
    """The first configuration of the project's tests, with one home region for the orders."""
    plan = first_configuration(3).render()
    for route in plan["routes"]:
        if route["name"] == "write":
            route["home_regions"] = [HOME]
            route["max_tries"] = MAX_TRIES
    return json.dumps(plan).encode()


def home_host(world):
    """The one host of the service in the home region."""
    return next(h for h in world.hosts if h.plan.service == SERVICE and world.fleet.plan.zones[h.plan.zone] == HOME)


def prepare(world, record):
    """Replaces the hosts by those of this script and makes them small."""
    for place, host in enumerate(world.hosts):
        host.plan.capacity = 2
        host.plan.queue = 1
        host.plan.work_s = 0.002
        world.hosts[place] = LateHost(host.plan, world.ledger)
    home_host(world).record = record


async def play(world, tries, record):
    """The whole case; returns whether it could run."""
    order = await world.operator.put_config(configuration(), "0", True, READY_BOUND_S)
    if order.outcome is not OrderOutcome.ACKNOWLEDGED or not await world.fleet.wait_ready(READY_BOUND_S):
        return False
    await asyncio.sleep(1.0)
    until = time.monotonic() + SPELLS * (PAUSE_S + TROUBLE_S) + PAUSE_S
    loads = [Load(process.front, tries, record) for process in world.fleet.gateways]
    running = [asyncio.create_task(load.run(until, 100000 * n)) for n, load in enumerate(loads)]
    for _ in range(SPELLS):
        await asyncio.sleep(PAUSE_S)
        home_host(world).late_share = LATE_SHARE if TROUBLE else 0.0
        record.append((time.monotonic(), "the trouble begins" if TROUBLE else "no trouble"))
        await asyncio.sleep(TROUBLE_S)
        home_host(world).late_share = 0.0
        record.append((time.monotonic(), "the trouble ends"))
    await asyncio.gather(*running)
    await asyncio.sleep(1.0)
    return not world.fleet.ended()


def verdict(world, tries, record):
    """Counts what broke REFUSED and TWICE, and writes the record."""
    runs = {}
    for run in world.ledger.runs:
        runs[run.attempt] = runs.get(run.attempt, 0) + 1
    refused = sorted(attempt for attempt, status in tries.items() if status in PROMISES and attempt in runs)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    statuses = {}
    for status in tries.values():
        statuses[status] = statuses.get(status, 0) + 1
    lines = [
        f"requests sent: {len(tries)}; answers: {statuses} (None: none); runs: {sum(runs.values())}",
        f"turned away by hosts: {world.ledger.turned_away}",
        f"REFUSED: {len(refused)} requests that got 408, 421, 429 or 503 and ran: {' '.join(refused)}",
        f"TWICE: {len(twice)} requests that ran more than once: {' '.join(twice)}",
        "",
    ]
    print("\n".join(lines), flush=True)
    began = record[0][0] if record else 0.0
    for attempt in (refused + twice)[:3]:
        lines.append(f"the history of {attempt}:")
        lines += [f"  {at - began:9.4f} s  {text}" for at, text in record if attempt in text]
    lines += ["", "all events:"] + [f"{at - began:9.4f} s  {text}" for at, text in record]
    (pathlib.Path(__file__).parent / "record.txt").write_text("\n".join(lines) + "\n")
    return 1 if refused or twice else 0


async def main(program):
    """Plays the case; returns the exit code."""
    record = []
    tries = {}
    world = World([program])
    prepare(world, record)
    try:
        await world.start()
        if not await play(world, tries, record):
            print("the case could not run")
            return 2
    finally:
        await world.stop()
    return verdict(world, tries, record)


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main(sys.argv[1])))
    except OSError as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
