"""Configurations and lists of hosts of a given size, from a seed."""

import json
import random
import string
from dataclasses import dataclass

from system import wire
from system.configuration import ConfigurationPlan, RoutePlan, TenantPlan

SERVICES = 39
KEY_LENGTH = 20
KEYS_PER_TENANT = 2
HOSTNAMES_PER_ROUTE = 0.5
QUOTA = 150
ZONES = {f"zone-{number:02d}": f"region-{number % 6}" for number in range(13)}


@dataclass(frozen=True)
class Sizes:
    """How large a configuration is."""

    routes: int
    tenants: int


SMALL = Sizes(10, 8)
DESIGN = Sizes(1100, 17000)


def service_name(number):
    """The name of a service."""
    return f"service-{number % SERVICES:02d}"


def configuration(sizes, epoch, seed):
    """The text of a configuration; two epochs of one seed differ in one tenant's keys alone."""
    drawn = random.Random(seed)
    routes = [_route(number, sizes) for number in range(sizes.routes)]
    tenants = [_tenant(number, drawn) for number in range(sizes.tenants)]
    if tenants:
        tenants[0].keys[0] = f"key-of-epoch-{epoch:07d}"
    services = [service_name(number) for number in range(SERVICES)]
    body = ConfigurationPlan(epoch, routes, services, tenants).render()
    return json.dumps(body, separators=(",", ":")).encode()


def _route(number, sizes):
    hostnames = max(1, int(sizes.routes * HOSTNAMES_PER_ROUTE))
    hostname = f"host-{number % hostnames:04d}.example"
    prefix = f"/path-{number:04d}/v1/"
    return RoutePlan(f"route-{number:04d}", hostname, prefix, "idempotent", {service_name(number): 1})


def _tenant(number, drawn):
    letters = string.ascii_lowercase + string.digits
    keys = ["".join(drawn.choices(letters, k=KEY_LENGTH)) for _ in range(KEYS_PER_TENANT)]
    return TenantPlan(f"tenant-{number:05d}", keys, QUOTA, QUOTA)


@dataclass
class ListedHostPlan:
    """What the list tells of a host besides its life."""

    service: str
    zone: str
    address: wire.Address
    capacity: int = 4


@dataclass
class ListedHost:
    """A host that stands in the platform's list and nowhere else."""

    plan: ListedHostPlan
    instance: str
    alive: bool = True
    draining: bool = False
    cold_left_s: float = 0.0


def hosts(count):
    """So many hosts, spread evenly over services and zones."""
    zones = list(ZONES)
    return [_host(number, zones[number % len(zones)]) for number in range(count)]


def _host(number, zone):
    address = wire.Address(f"10.128.{number // 250}.{1 + number % 250}", 8080)
    return ListedHost(ListedHostPlan(service_name(number), zone, address), f"i-{number:08x}")
