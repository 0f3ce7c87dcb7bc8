"""What happens to a world during a soak: series of signals, restarts, changes and leaving hosts, which overlap.

Every event undoes itself: what it ended is started again, so that a series can go on. The caller's random generator
decides what comes when; nothing here waits without a bound.
"""

import asyncio
import json
import time

from system.configuration import invalid_configurations, render_version
from system.hosts import RefusalCopy
from system.ledger import OrderOutcome
from system.world import ZONES, first_configuration, second_configuration

ORDER_BOUND_S = 12.0
HOME_REGION = "north"
END_MARGIN_S = 1.0
SHORT_GAP_S = (0.1, 0.6)
LIST_PART_OF_DRAIN = 1.3  # a leaving host goes on for so much of `drain`


class Events:
    """The events of one soak, by the name of their method."""

    def __init__(self, world, random, grace_s, drain_s):
        self.world = world
        self.random = random
        self.grace_s = grace_s
        self.drain_s = drain_s
        self.epoch = 0
        self.faults = []
        self._changing = asyncio.Lock()
        self._busy = set()

    def kinds(self):
        """Every series that may run, with its weight."""
        return {
            self.roll_gateways: 4,
            self.roll_region: 1,
            self.hosts_leave: 4,
            self.change_configurations: 3,
            self.send_invalid: 2,
            self.hosts_fill_up: 2,
            self.repeat_refusals: 2,
            self.hang_up: 2,
            self.evacuate: 1,
            self.kill_gateway: 1,
            self.kill_control_plane: 1,
            self.freeze: 1,
        }

    async def pause(self, span_s=SHORT_GAP_S):
        """A gap within a series."""
        await asyncio.sleep(self.random.uniform(*span_s))

    def _take(self, things, count):
        """Some of these that no other series holds."""
        free = [thing for thing in things if thing not in self._busy]
        taken = self.random.sample(free, min(count, len(free)))
        self._busy.update(taken)
        return taken

    def _release(self, things):
        self._busy.difference_update(things)

    async def put(self, plan, base):
        """Sends a valid configuration, whose route for writing has a home; returns its order."""
        for route in plan.routes:
            if route.name == "write":
                route.home_regions = [HOME_REGION]
        payload = json.dumps(plan.render()).encode()
        return await self.world.operator.put_config(payload, base, True, ORDER_BOUND_S)

    async def first_configuration(self):
        """The configuration that all begins with; returns whether it was taken."""
        self.epoch = 3
        order = await self.put(first_configuration(self.epoch), "0")
        return order.outcome is OrderOutcome.ACKNOWLEDGED

    async def change_configurations(self):
        """A few versions, one on top of the other."""
        async with self._changing:
            for _ in range(self.random.randint(1, 4)):
                base = render_version(self.epoch)
                next_epoch = self.epoch + self.random.randint(1, 9)
                make = self.random.choice([first_configuration, second_configuration])
                order = await self.put(make(next_epoch), base)
                if order.outcome is not OrderOutcome.ACKNOWLEDGED:
                    self.faults.append(f"configuration {next_epoch}: {order.outcome.value}, {order.status}")
                    return
                self.epoch = next_epoch
                await self.pause()

    async def send_invalid(self):
        """Some configurations that must be refused, on top of the one in force."""
        async with self._changing:
            valid = first_configuration(self.epoch + 1).render()
            for bad in self.random.sample(invalid_configurations(valid, self.epoch), 3):
                order = await self.world.operator.put_config(
                    bad.payload, render_version(self.epoch), False, ORDER_BOUND_S
                )
                if order.outcome is OrderOutcome.ACKNOWLEDGED:
                    self.faults.append(f"taken though invalid: {bad.reason}")
                await self.pause()

    async def _end_and_start(self, process):
        process.terminate()
        began = time.monotonic()
        if not await process.wait_end(self.grace_s + END_MARGIN_S):
            self.faults.append(f"{process.machine.name} has not ended {time.monotonic() - began:.1f} s after SIGTERM")
            process.kill()
            await process.wait_end(self.grace_s)
        elif process.exit_code != 0:
            self.faults.append(f"{process.machine.name} ended with {process.exit_code}")
        await self.pause()
        await process.start()

    async def roll_gateways(self):
        """Gateways get SIGTERM one after the other, and start again; the next does not wait for the one before."""
        await self._roll(self._take(self.world.fleet.gateways, max(1, len(self.world.fleet.gateways) // 3)))

    async def roll_region(self):
        """The same with all gateways of a region that are free."""
        region = self.random.choice(sorted(set(ZONES.values())))
        gateways = [process for process in self.world.fleet.gateways if process.machine.region == region]
        await self._roll(self._take(gateways, len(gateways)))

    async def _roll(self, rolled):
        ends = []
        for process in rolled:
            ends.append(asyncio.create_task(self._end_and_start(process)))
            await self.pause()
        await asyncio.gather(*ends)
        self._release(rolled)

    async def hosts_leave(self):
        """Some hosts of a service say that they leave, serve on for a while, end, and are replaced."""
        service = self.random.choice(["catalog", "orders"])
        leaving = self._take([host for host in self.world.hosts if host.plan.service == service], 1)
        for host in leaving:
            host.drain()
            self.world.platform.publish()
        await asyncio.sleep(self.drain_s * LIST_PART_OF_DRAIN + self.world.platform.plan.max_lag_s)
        for host in leaving:
            await host.crash()
            self.world.platform.publish()
            await self.pause()
            await host.start(cold=True)
            self.world.platform.publish()
        self._release(leaving)

    async def hosts_fill_up(self):
        """Hosts of a service have no slot for a while, and shed without a word."""
        filled = self._take(self.world.hosts, 2)
        for host in filled:
            host.fill()
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        for host in filled:
            host.clear()
        self._release(filled)

    async def repeat_refusals(self):
        """Hosts are full most of the time for a while, and send a copy of each refusal, some of them late."""
        taken = self._take(self.world.hosts, 2)
        before = [(host.plan.capacity, host.plan.queue) for host in taken]
        for host in taken:
            host.plan.capacity, host.plan.queue = 1, 0
            host.refusal_copies = list(RefusalCopy)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        for host, (capacity, queue) in zip(taken, before):
            host.plan.capacity, host.plan.queue = capacity, queue
            host.refusal_copies = []
        self._release(taken)

    async def hang_up(self):
        """SIGHUP to processes of both roles, again and again."""
        for _ in range(self.random.randint(2, 8)):
            process = self.random.choice(self.world.fleet.processes)
            process.hang_up()
            await self.pause((0.0, 0.2))

    async def evacuate(self):
        """A zone is evacuated and taken back."""
        zone = self.random.choice(list(ZONES))
        if await self.world.operator.evacuate(zone, ORDER_BOUND_S):
            await self.pause((0.3, 1.5))
        if not await self.world.operator.take_back_evacuation(zone, ORDER_BOUND_S):
            self.faults.append(f"the end of the evacuation of {zone} is not acknowledged")

    async def _kill_and_start(self, process):
        process.kill()
        await process.wait_end(END_MARGIN_S)
        await self.pause()
        await process.start()

    async def kill_gateway(self):
        """A gateway is killed and starts again."""
        taken = self._take(self.world.fleet.gateways, 1)
        for process in taken:
            await self._kill_and_start(process)
        self._release(taken)

    async def kill_control_plane(self):
        """A control plane is killed and starts again with its disk; one at a time."""
        if self._busy.intersection(self.world.fleet.control_planes):
            return
        taken = self._take(self.world.fleet.control_planes, 1)
        for process in taken:
            await self._kill_and_start(process)
        await asyncio.sleep(1.0)
        self._release(taken)

    async def freeze(self):
        """A process stands still for a moment."""
        if self._busy.intersection(self.world.fleet.control_planes):
            return
        taken = self._take(self.world.fleet.processes, 1)
        for process in taken:
            await process.freeze(self.random.uniform(0.2, 1.2))
        self._release(taken)
