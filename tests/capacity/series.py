"""The series of worlds that are measured; each gives rows of one kind to the result."""

import asyncio

from capacity import inputs, processes
from capacity.hollow import Load
from capacity.world import World, WorldError, WorldPlan

GATEWAYS = [10, 50, 100, 200, 400, 570]
INSTANCES = [50, 300, 600, 900, 1200]
ROUTES = [10, 100, 300, 600, 1100]
TENANTS = [8, 1000, 4000, 8000, 17000]
QUOTA_GATEWAYS = [10, 25, 50, 100, 200]
SIZED_GATEWAYS = 20
REST_S = 6.0
CHANGE_S = 30.0
MEMBER_GAP_S = 3.0
KEPT_CHANGES = 72
QUOTA_RATE = 20.0
QUOTA_TENANTS = 200


def _part(moments, part):
    return moments[min(len(moments) - 1, int(part * len(moments)))] if moments else None


def _milliseconds(seconds):
    return None if seconds is None else round(seconds * 1000, 1)


def rates(before, after, gateways):
    """A gateway's bytes and the processor time of all between two marks, a second."""
    span = after.at - before.at
    sampled = (after.sample["at"] - before.sample["at"]) / len(after.hollow) / 1e6
    part = 1.0 / sampled / gateways

    def processor(name):
        return [b.processor_s - a.processor_s for a, b in zip(getattr(before, name), getattr(after, name))]

    def moved(name):
        return after.sample[name] - before.sample[name]

    return {
        "bytes_in_per_gateway_s": round(moved("bytes_in") * part, 1),
        "bytes_out_per_gateway_s": round(moved("bytes_out") * part, 1),
        "segments_per_gateway_s": round(moved("segments_in") * part, 2),
        "member_lists_taken": moved("members_taken"),
        "control_processor_most_percent": round(100 * max(processor("control")) / span, 2),
        "control_processor_all_percent": round(100 * sum(processor("control")) / span, 2),
        "hollow_processor_percent_per_gateway": round(100 * sum(processor("hollow")) / span / gateways, 4),
    }


def memory(mark):
    """Memory of the largest control plane and of a hollow gateway."""
    return {
        "control_resident_mib": round(max(u.resident_kib for u in mark.control) / 1024, 1),
        "control_peak_mib": round(max(u.peak_kib for u in mark.control) / 1024, 1),
        "control_descriptors": max(u.descriptors for u in mark.control),
        "hollow_resident_mib": round(sum(u.resident_kib for u in mark.hollow) / 1024, 1),
    }


async def at_rest(world):
    """The rates and memory of a world in which nothing changes."""
    before = await world.mark()
    between = world.control_bytes()
    await asyncio.sleep(REST_S)
    after = await world.mark()
    among = (world.control_bytes() - between) / (after.at - before.at)
    found = rates(before, after, world.plan.gateways) | memory(after)
    found["bytes_among_control_planes_s"] = round(among, 1)
    return found | {"calls_of_list": world.platform.counts.calls}


async def configuration_change(world, sizes, bound_s=CHANGE_S):
    """One new configuration, from the operator's call until all gateways have it."""
    before = await world.mark()
    size = await world.put(sizes, bound_s)
    moments, heard = await world.wait_configuration(bound_s)
    after = await world.mark()
    moved = after.sample["bytes_in"] - before.sample["bytes_in"]
    used = [b.processor_s - a.processor_s for a, b in zip(before.control, after.control)]
    return {
        "configuration_bytes": size,
        "reached": len(moments),
        "acknowledged_ms": _milliseconds(world.acknowledged_at - world.put_at),
        "in_force_99_ms": _milliseconds(_since(_part(moments, 0.99), world.put_at)),
        "in_force_all_ms": _milliseconds(_since(_part(moments, 1.0), world.put_at)),
        "heard_all_ms": _milliseconds(_since(_part(heard, 1.0), world.put_at)),
        "bytes_in_per_gateway": round(moved / world.plan.gateways),
        "control_processor_most_ms": round(1000 * max(used)),
        "hollow_processor_ms_per_gateway": round(_hollow_ms(before, after) / world.plan.gateways, 2),
    }


def _hollow_ms(before, after):
    return 1000 * sum(b.processor_s - a.processor_s for a, b in zip(before.hollow, after.hollow))


def _since(moment, start):
    return None if moment is None else moment - start


async def list_change(world, count):
    """A list of another length, from the moment it shows that until all gateways have it."""
    before = await world.mark()
    moments = await world.change_list(count, CHANGE_S)
    after = await world.mark()
    moved = after.sample["bytes_in"] - before.sample["bytes_in"]
    return {
        "list_reached": len(moments),
        "list_99_ms": _milliseconds(_part(moments, 0.99)),
        "list_all_ms": _milliseconds(_part(moments, 1.0)),
        "list_bytes_in_per_gateway": round(moved / world.plan.gateways),
        "list_hollow_processor_ms_per_gateway": round(_hollow_ms(before, after) / world.plan.gateways, 2),
    }


async def member_change(world):
    """One gateway comes and goes; what that brings to each of the others."""
    before = await world.mark()
    await world.join_and_leave(MEMBER_GAP_S)
    after = await world.mark()
    gateways = world.plan.gateways
    lists = (after.sample["members_taken"] - before.sample["members_taken"]) / gateways
    span = (after.sample["at"] - before.sample["at"]) / len(after.hollow) / 1e6
    moved = after.sample["bytes_in"] - before.sample["bytes_in"]
    used = [b.processor_s - a.processor_s for a, b in zip(before.control, after.control)]
    return {
        "lists_per_restart": round(lists, 2),
        "restart_seconds": round(span, 2),
        "restart_bytes_in_per_gateway": round(moved / gateways),
        "restart_control_processor_most_ms": round(1000 * max(used)),
        "restart_hollow_processor_ms_per_gateway": round(_hollow_ms(before, after) / gateways, 2),
    }


async def _in_world(plan, measure):
    """Runs `measure` in a world; a world that can't be measured gives a row that says so."""
    world = World(plan)
    row = {"gateways": plan.gateways, "control_planes": plan.control_planes}
    try:
        await world.start()
        row["settled_after_s"] = round(world.settled_after_s, 2)
        sample = (await world.mark()).sample
        row["start_bytes_in_per_gateway"] = round(sample["bytes_in"] / plan.gateways)
        row["start_lists_per_gateway"] = round(sample["members_taken"] / plan.gateways, 1)
        row["start_processor_control_s"] = round(max(u.processor_s for u in (await world.mark()).control), 2)
        return [row | found for found in await measure(world)]
    except (WorldError, TimeoutError, ProcessLookupError, FileNotFoundError) as error:
        print(f"not measured: {error}", flush=True)
        return [row | {"not_measured": str(error)}]
    finally:
        await world.stop()


async def by_gateways(base, gateways):
    """One world of so many gateways, at rest and over one change of each kind."""

    async def measure(world):
        row = await at_rest(world)
        row |= await configuration_change(world, inputs.SMALL)
        row |= await list_change(world, world.plan.instances + 1)
        return [row | await member_change(world)]

    return await _in_world(WorldPlan(**base, gateways=gateways), measure)


async def by_sizes(base):
    """One world whose configuration and list grow; a row for each size."""

    async def measure(world):
        rows = []
        sizes = [("routes", count, inputs.Sizes(count, 8)) for count in ROUTES]
        sizes += [("tenants", count, inputs.Sizes(10, count)) for count in TENANTS]
        for name, count, size in sizes:
            row = {"varied": name, "size": count} | await configuration_change(world, size)
            rows.append(row | memory(await world.mark()))
        await world.put(inputs.SMALL)
        for count in INSTANCES:
            row = {"varied": "instances", "size": count} | await list_change(world, count + 1)
            rows.append(row | await at_rest(world))
        return rows

    return await _in_world(WorldPlan(**base, gateways=SIZED_GATEWAYS), measure)


async def by_changes(base):
    """One world that gets many whole configurations of the design size: what control planes keep of them."""

    async def measure(world):
        rows = []
        for change in range(1, KEPT_CHANGES + 1):
            await world.put(inputs.DESIGN)
            if change % 8 != 0:
                continue
            state = world.fleet.folder / "state"
            kept = max(processes.folder_kib(state / machine.name) for machine in world.fleet.plan.machines)
            row = {"varied": "changes", "size": change, "disk_mib": round(kept / 1024, 1)}
            rows.append(row | memory(await world.mark()))
        return rows

    return await _in_world(WorldPlan(**base, gateways=2, hollow_processes=1), measure)


async def by_quota(base, gateways):
    """One world with synthetic quota requests."""

    async def measure(world):
        await asyncio.sleep(1)
        before = await world.mark()
        await asyncio.sleep(REST_S)
        after = await world.mark()
        asked = after.sample["quota_asked"] - before.sample["quota_asked"]
        passed = after.sample["quota_passed"] - before.sample["quota_passed"]
        used = _hollow_ms(before, after)
        row = {"quota_asked": asked, "quota_passed": passed}
        row["processor_us_per_request"] = round(1000 * used / asked, 1)
        return [row | rates(before, after, gateways) | memory(after)]

    load = Load(QUOTA_RATE, QUOTA_TENANTS)
    return await _in_world(WorldPlan(**base, gateways=gateways, load=load), measure)


async def at_design_size(base, gateways):
    """Many gateways, the whole list, and a change from a small configuration to one of the design size."""

    async def measure(world):
        row = await at_rest(world)
        row |= await configuration_change(world, inputs.DESIGN, 60.0)
        return [row | memory(await world.mark())]

    return await _in_world(WorldPlan(**base, gateways=gateways, instances=1200), measure)
