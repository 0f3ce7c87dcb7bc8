"""A world of real control planes, hollow gateways, a stand-in list and an operator, all on loopback.

It keeps to bounds on the machine's memory, stops what it started, and measures at rest and over changes.
"""

import asyncio
import ipaddress
import time
from dataclasses import dataclass, field

from capacity import inputs, processes
from capacity.hollow import HollowProcess, Load
from system import wire
from system.checks import until
from system.fleet import Fleet, FleetPlan, Machine, choose_ports
from system.ledger import Ledger
from system.platform import Platform, PlatformPlan

CONTROL_IPS = "127.0.9."
PLATFORM_IP = "127.0.8.1"
FIRST_GATEWAY = int(ipaddress.IPv4Address("127.0.16.1"))
CALL_S = 20.0
MOST_REDIRECTS = 3
MEMORY_PART = 0.45  # of the machine's, for all processes together
LEAST_AVAILABLE_KIB = 3 << 20
PAGE_SIZE = 50
PLATFORM_RATE = 60.0


class WorldError(Exception):
    """The world can't be measured: it did not settle, or went over a bound."""


@dataclass
class WorldPlan:
    """What stands in the world."""

    program: str
    hollow_program: str
    gateways: int
    control_planes: int = 3
    hollow_processes: int = 2
    instances: int = 50
    configuration: inputs.Sizes = inputs.SMALL
    start_gap_ms: int = 15
    settle_s: float = 60.0
    life_s: int = 400
    load: Load = field(default_factory=Load)
    seed: int = 1


@dataclass
class Mark:
    """What all processes had used at a moment."""

    at: float
    sample: dict
    control: list
    hollow: list


class World:
    """One world. `start`, measure, `stop`."""

    def __init__(self, plan):
        self.plan = plan
        self.epoch = 0
        self.put_at = 0.0
        self.acknowledged_at = 0.0
        self.over_bound = None
        self.settled_after_s = 0.0
        self.hollow = []
        self._watch = None
        self._spare = FIRST_GATEWAY + plan.gateways
        ips = [f"{CONTROL_IPS}{number + 1}" for number in range(plan.control_planes)]
        ports = choose_ports(ips + [PLATFORM_IP, str(ipaddress.IPv4Address(FIRST_GATEWAY))])
        list_address = wire.Address(PLATFORM_IP, ports.front)
        self.platform = Platform(PlatformPlan(list_address, 0.0, PLATFORM_RATE, PAGE_SIZE))
        self.platform.hosts = inputs.hosts(plan.instances)
        zones = list(inputs.ZONES)
        machines = [
            Machine(f"control-{n}", "control-plane", ip, zone, inputs.ZONES[zone])
            for n, (ip, zone) in enumerate(zip(ips, zones))
        ]
        fleet_plan = FleetPlan([plan.program], machines, inputs.ZONES, self.platform.plan.address, ports)
        self.fleet = Fleet(fleet_plan, Ledger())

    async def start(self):
        """Starts everything and waits until all gateways are known to all; fails with WorldError."""
        await self.platform.start()
        await self.fleet.start()
        self._watch = asyncio.create_task(self._watch_memory())
        await self.put(self.plan.configuration)
        began = time.monotonic()
        part, rest = divmod(self.plan.gateways, self.plan.hollow_processes)
        first = FIRST_GATEWAY
        for number in range(self.plan.hollow_processes):
            count = part + (number < rest)
            await self._start_hollow(f"hollow-{number}", first, count, self.plan.start_gap_ms)
            first += count
        if not await until(self._settled, self.plan.settle_s):
            raise WorldError(f"not settled after {self.plan.settle_s:.0f} s: {self._state()}")
        self.settled_after_s = time.monotonic() - began

    async def _start_hollow(self, name, first, count, gap):
        ip = str(ipaddress.IPv4Address(first))
        zone = next(iter(inputs.ZONES))
        settings = self.fleet.write_settings(Machine(name, "gateway", ip, zone, inputs.ZONES[zone]), False)
        process = HollowProcess(
            self.plan.hollow_program, settings, count, gap, self.plan.life_s, self.plan.load, self.plan.seed
        )
        self.hollow.append(process)
        await process.start()
        return process

    def _settled(self):
        self.check()
        known = self.plan.gateways + self.plan.control_planes
        return all(
            process.sample.get("connections", 0) >= process.count
            and process.sample.get("members_known") == known
            and len(process.lists) == process.count
            and len(process.configurations.get(self.epoch, [])) >= process.count
            for process in self.hollow
        )

    def _state(self):
        names = ("started", "connections", "members_known", "members_taken", "bytes_in")
        return [{name: process.sample.get(name) for name in names} for process in self.hollow]

    def check(self):
        """Fails with WorldError where a bound was passed or a process has ended."""
        if self.over_bound:
            raise WorldError(self.over_bound)
        ended = self.fleet.ended()
        if ended:
            raise WorldError(f"ended: {ended}")

    async def _watch_memory(self):
        most = MEMORY_PART * processes.total_kib()
        while not self.over_bound:
            await asyncio.sleep(0.25)
            used = sum(processes.usage(pid).resident_kib for pid in self._pids())
            if used > most or processes.available_kib() < LEAST_AVAILABLE_KIB:
                self.over_bound = f"over the bound on memory: {used >> 10} MiB in use"
                await self._end_all()

    def _pids(self):
        controls = [process.pid for process in self.fleet.control_planes if process.running]
        return controls + [process.pid for process in self.hollow if process.running]

    async def _end_all(self):
        for process in self.hollow:
            await process.stop()
        await self.fleet.stop()

    async def stop(self):
        """Ends everything."""
        if self._watch:
            self._watch.cancel()
        await self._end_all()
        await self.platform.stop()

    # ---- the operator ----

    async def put(self, sizes, bound_s=CALL_S):
        """Puts a configuration of this size in force; keeps when it was acknowledged. Returns its bytes."""
        base, self.epoch = self.epoch, self.epoch + 1
        body = inputs.configuration(sizes, self.epoch, self.plan.seed)
        headers = [("If-Match", f"{base:08x}"), ("Content-Type", "application/json")]
        self.put_at = time.monotonic()
        address = self.fleet.control_planes[0].control
        target = wire.Call(address, "PUT", "/v1/config", body, headers)
        if not await until(lambda: self._accepted(target), bound_s):
            raise WorldError("the configuration was not taken")
        self.acknowledged_at = time.monotonic()
        return len(body)

    async def _accepted(self, call):
        self.check()
        for _ in range(MOST_REDIRECTS):
            try:
                answer = await wire.call(call, CALL_S)
            except (OSError, asyncio.TimeoutError, wire.WireError):
                return False
            if answer.status != 307:
                return answer.status == 200
            place = answer.headers.get("Location", "").removeprefix("http://").split("/", 1)[0]
            call = wire.Call(wire.Address.parse(place), call.method, call.target, call.body, call.headers)
        return False

    # ---- what is measured ----

    async def mark(self):
        """What all have used until now."""
        samples = [await process.next_sample() for process in self.hollow if process.running]
        self.check()
        names = [name for name in samples[0] if name != "event"]
        summed = {name: sum(sample[name] for sample in samples) for name in names}
        controls = [processes.usage(process.pid) for process in self.fleet.control_planes]
        hollow = [processes.usage(process.pid) for process in self.hollow if process.running]
        return Mark(time.monotonic(), summed, controls, hollow)

    def control_bytes(self):
        """Payload bytes on TCP sessions among the control planes."""
        pids = [process.pid for process in self.fleet.control_planes]
        return processes.bytes_opened(pids, self.fleet.plan.ports.internal)

    async def wait_configuration(self, bound_s):
        """Waits until all gateways have the newest configuration in force.

        Returns the moments when gateways had it in force and those when they heard it, in order.
        """

        def in_force():
            self.check()
            return self._moments("configurations")

        await until(lambda: len(in_force()) >= self.plan.gateways, bound_s)
        return sorted(in_force()), sorted(self._moments("heard"))

    def _moments(self, name):
        return [moment for process in self.hollow for moment in getattr(process, name).get(self.epoch, [])]

    async def change_list(self, count, bound_s):
        """Makes the list one of `count` hosts; the moments when gateways had it, counted from the change."""
        self.platform.hosts = inputs.hosts(count)
        began = time.monotonic()
        self.platform.publish()

        def known():
            self.check()
            return [at for process in self.hollow for size, at in process.lists.values() if size == count]

        await until(lambda: len(known()) >= self.plan.gateways, bound_s)
        return sorted(at - began for at in known())

    async def join_and_leave(self, gap_s):
        """One more gateway comes and, after `gap_s` seconds, goes again."""
        process = await self._start_hollow("hollow-more", self._spare, 1, 0)
        await asyncio.sleep(gap_s)
        await process.stop()
        self.hollow.remove(process)
        await asyncio.sleep(gap_s)
