"""Configurations as the operator sends them: what one allows, and the ones that the tests send."""

import copy
import json
from dataclasses import dataclass, field
from typing import Optional


def route_for(configuration, hostname, path):
    """The route with the longest prefix of the path among those of the host, or None."""
    best = None
    for route in configuration.get("routes", []):
        if route["hostname"] != hostname or not path.startswith(route["path_prefix"]):
            continue
        if best is None or len(route["path_prefix"]) > len(best["path_prefix"]):
            best = route
    return best


def services_of(route):
    """The names of the services a route may send to."""
    if "weighted_backends" in route:
        return {entry["backend"] for entry in route["weighted_backends"] if entry["weight"] > 0}
    return {route["backend"]}


def tenant_of(configuration, key):
    """The tenant that holds the key, or None."""
    for tenant in configuration.get("tenants", []):
        if key in tenant["api_keys"]:
            return tenant
    return None


def allows(configuration, hostname, path, key):
    """Whether a request has a route and, where one is needed, a known key."""
    route = route_for(configuration, hostname, path)
    if route is None:
        return False
    needs_key = bool(configuration.get("tenants")) and not route.get("anonymous", False)
    return not needs_key or tenant_of(configuration, key) is not None


def render_version(epoch):
    """A version as it stands in bodies and headers."""
    return f"{epoch:08x}"


@dataclass
class RoutePlan:
    """A route of a test configuration; `backends` maps services to weights."""

    name: str
    hostname: str
    path_prefix: str
    route_class: str
    backends: dict
    deadline_ms: int = 4000
    anonymous: bool = False
    home_regions: list = field(default_factory=list)


@dataclass
class TenantPlan:
    """A tenant of a test configuration; 0 requests a second means no limit."""

    name: str
    keys: list
    rate_per_s: int = 0
    burst: int = 0


@dataclass
class ConfigurationPlan:
    """A whole test configuration."""

    epoch: int
    routes: list
    services: list
    tenants: list
    max_header_bytes: int = 8192
    max_body_bytes: int = 65536

    def render(self):
        """The body of the configuration."""
        return {
            "epoch": render_version(self.epoch),
            "routes": [_render_route(route) for route in self.routes],
            "services": [_render_service(name) for name in self.services],
            "limits": {
                "max_header_bytes": self.max_header_bytes,
                "max_body_bytes": self.max_body_bytes,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
            "tenants": [_render_tenant(tenant) for tenant in self.tenants],
        }


def _render_route(route):
    body = {
        "name": route.name,
        "hostname": route.hostname,
        "path_prefix": route.path_prefix,
        "route_class": route.route_class,
        "deadline": f"{route.deadline_ms}ms",
        "target_latency": "800ms",
        "priority": 1,
        "max_tries": 2,
        "anonymous": route.anonymous,
        "home_regions": route.home_regions,
    }
    if len(route.backends) == 1:
        body["backend"] = next(iter(route.backends))
    else:
        body["weighted_backends"] = [{"backend": n, "weight": w} for n, w in route.backends.items()]
    return body


def _render_service(name):
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 64,
        "protocol": "h1",
        "tls": False,
        "warmup": "1s",
        "cold_per_s": 20.0,
    }


def _render_tenant(tenant):
    return {
        "name": tenant.name,
        "api_keys": tenant.keys,
        "priority": 0,
        "rate_per_s": tenant.rate_per_s,
        "burst": tenant.burst,
        "home_regions": [],
    }


@dataclass
class InvalidConfiguration:
    """A configuration that must be refused: the reason, its bytes, and its body if that can be read."""

    reason: str
    payload: bytes
    body: Optional[dict]


def _changer(valid):
    """A function that makes an invalid configuration of a valid one."""

    def changed(reason, change):
        body = copy.deepcopy(valid)
        change(body)
        return InvalidConfiguration(reason, json.dumps(body).encode(), body)

    return changed


def unservable_configurations(valid):
    """Configurations that can be read, and leave a route or all clients no chance to be served."""
    changed = _changer(valid)

    def split_route(body):
        return next(route for route in body["routes"] if "weighted_backends" in route)

    return [
        changed("no time on a plain route", lambda body: body["routes"][0].update(deadline="0ms")),
        changed("no time on a split route", lambda body: split_route(body).update(deadline="0s")),
        changed("no time, with a fraction", lambda body: split_route(body).update(deadline="0.0s")),
        changed("no connections to a service", lambda body: body["services"][0].update(max_conns=0)),
        changed("no header fits", lambda body: body["limits"].update(max_header_bytes=0)),
        changed("no time for a header", lambda body: body["limits"].update(header_timeout="0ms")),
        changed("no time between requests", lambda body: body["limits"].update(idle_timeout="0ms")),
        changed("no host name", lambda body: body["routes"][0].update(hostname="")),
    ]


def invalid_configurations(valid, current_epoch):
    """One configuration for each reason to refuse one, each made from a valid one."""
    changed = _changer(valid)

    def first_route(body):
        return body["routes"][0]

    def no_weight(body):
        first_route(body).pop("backend", None)
        first_route(body)["weighted_backends"] = [{"backend": valid["services"][0]["name"], "weight": 0}]

    def unknown_service(body):
        first_route(body).pop("weighted_backends", None)
        first_route(body)["backend"] = "no-such-service"

    def same_place(body):
        body["routes"].append(dict(first_route(body), name="again"))

    whole = json.dumps(valid).encode()
    return unservable_configurations(valid) + [
        InvalidConfiguration("cut short", whole[: len(whole) // 2], None),
        changed("unknown service", unknown_service),
        changed("same place twice", same_place),
        changed("weights sum to 0", no_weight),
        changed("unknown class", lambda body: first_route(body).update(route_class="odd")),
        changed("deadline over ten minutes", lambda body: first_route(body).update(deadline="601s")),
        changed("aim over the deadline", lambda body: first_route(body).update(target_latency="65s")),
        changed("epoch not greater", lambda body: body.update(epoch=f"{current_epoch:08x}")),
    ]
