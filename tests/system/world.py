"""A whole world for a test: three zones of two regions with all processes and stand-ins in them."""

from dataclasses import dataclass, field

from system import wire
from system.clients import Client, ClientPlan
from system.configuration import ConfigurationPlan, RoutePlan, TenantPlan
from system.fleet import Fleet, FleetPlan, Machine, choose_ports
from system.hosts import Host, HostPlan, TroublePlan
from system.ledger import Ledger
from system.operator import Operator
from system.platform import Platform, PlatformPlan

ZONES = {"north-1": "north", "north-2": "north", "south-1": "south"}
CORE_ZONES = ["north-1", "north-2", "south-1"]
GATEWAY_ZONES = ["north-1", "north-1", "north-2", "south-1"]
FIRST_CORE = 11
FIRST_GATEWAY = 21
FIRST_HOST = 101
PLATFORM_IP = "127.0.0.200"
SERVICES = ["catalog", "orders"]
SHOP = "shop.example"
OPEN = "open.example"
ACME_KEY = "kq7acme0one"
ACME_SECOND_KEY = "kq7acme0two"
LIMITED_KEY = "kq7limited0"
LIMITED_RATE_PER_S = 10
LIMITED_BURST = 5
OPERATOR_SEED = 7


def first_configuration(epoch):
    """The configuration of the start."""
    routes = [
        RoutePlan("read", SHOP, "/read/", "idempotent", {"catalog": 1}),
        RoutePlan("write", SHOP, "/write/", "mutating", {"orders": 1}),
        RoutePlan("split", SHOP, "/split/", "idempotent", {"catalog": 70, "orders": 30}),
        RoutePlan("moving", SHOP, "/moving/", "idempotent", {"catalog": 1}),
        RoutePlan("leaving", SHOP, "/leaving/", "idempotent", {"catalog": 1}),
        RoutePlan("open", OPEN, "/", "idempotent", {"catalog": 1}, anonymous=True),
    ]
    tenants = [
        TenantPlan("acme", [ACME_KEY, ACME_SECOND_KEY]),
        TenantPlan("limited", [LIMITED_KEY], LIMITED_RATE_PER_S, LIMITED_BURST),
    ]
    return ConfigurationPlan(epoch, routes, SERVICES, tenants)


def second_configuration(epoch):
    """The route /moving/ goes to the other service, /leaving/ is removed, /added/ is new."""
    plan = first_configuration(epoch)
    plan.routes = [route for route in plan.routes if route.name != "leaving"]
    for route in plan.routes:
        if route.name == "moving":
            route.backends = {"orders": 1}
    plan.routes.append(RoutePlan("added", SHOP, "/added/", "idempotent", {"catalog": 1}))
    return plan


def _machines(plan):
    machines = []
    for number, zone in enumerate(CORE_ZONES):
        ip = f"127.0.0.{FIRST_CORE + number}"
        machines.append(Machine(f"core-{number + 1}", "control-plane", ip, zone, ZONES[zone]))
    for number, zone in enumerate(plan.gateway_zones):
        ip = f"127.0.0.{FIRST_GATEWAY + number}"
        machines.append(Machine(f"gateway-{number + 1}", "gateway", ip, zone, ZONES[zone]))
    return machines


def _host_places():
    return [(service, zone) for service in SERVICES for zone in ZONES]


@dataclass
class WorldPlan:
    """What differs from test to test. `bounds` override figures of the settings."""

    bounds: dict = field(default_factory=dict)
    link_mbps: float = 1000.0
    platform: dict = field(default_factory=dict)  # figures of the platform's plan
    gateway_zones: list = field(default_factory=lambda: list(GATEWAY_ZONES))
    other_program: list = field(default_factory=list)  # another build, which runs in turn with the first


class World:
    """Everything one test runs, sharing one ledger."""

    def __init__(self, program, plan=None):
        plan = plan or WorldPlan()
        self.ledger = Ledger()
        machines = _machines(plan)
        host_ips = [f"127.0.0.{FIRST_HOST + number}" for number in range(len(_host_places()))]
        ports = choose_ports([machine.ip for machine in machines] + host_ips + [PLATFORM_IP])
        self.hosts = []
        for ip, (service, zone) in zip(host_ips, _host_places()):
            host_plan = HostPlan(service, zone, wire.Address(ip, ports.front))
            self.hosts.append(Host(host_plan, self.ledger))
        self.platform = Platform(PlatformPlan(wire.Address(PLATFORM_IP, ports.front), **plan.platform), self.hosts)
        fleet_plan = FleetPlan(program, machines, ZONES, self.platform.plan.address, ports, plan.bounds)
        fleet_plan.link_mbps = plan.link_mbps
        fleet_plan.other_program = plan.other_program
        self.fleet = Fleet(fleet_plan, self.ledger)
        controls = [process.control for process in self.fleet.control_planes]
        self.operator = Operator(self.ledger, controls, OPERATOR_SEED)

    async def start(self):
        """Starts hosts, platform and every process of the program."""
        for host in self.hosts:
            await host.start()
        await self.platform.start()
        await self.fleet.start()

    async def stop(self, keep_folder=False):
        """Stops everything that `start` started."""
        await self.fleet.stop(keep_folder)
        await self.platform.stop()
        for host in self.hosts:
            await host.crash()

    def client(self, number):
        """A client of its own seed, in one of the zones."""
        zone = list(ZONES)[number % len(ZONES)]
        directories = self.fleet.directories_near(ZONES[zone], zone)
        return Client(ClientPlan(ZONES[zone], zone, directories, seed=1000 + number), self.ledger)

    def trouble(self, share, kinds):
        """Gives every host the same kinds of trouble from now on; a share of 0 ends them."""
        for host in self.hosts:
            host.troubles = TroublePlan(share, kinds)

    def services_that_ran(self, attempt):
        """The services at which the request of this id ran."""
        return {run.service for run in self.ledger.runs if run.attempt == attempt}
