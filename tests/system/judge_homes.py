"""The judge's rule HOME: requests stay in the homes of their routes, at hosts and where the directory sends clients.

A configuration that may be in force at any time excuses what it allows; the homes of tenants aren't looked at.
"""

from system import configuration
from system.judge_configuration import accepted_orders
from system.rules import Breach, Rule


def judge(ledger):
    """All breaches of HOME."""
    bodies = [order.body for order in accepted_orders(ledger)]
    return judge_runs(ledger, bodies) + judge_directory(ledger, bodies)


def judge_runs(ledger, bodies):
    """Requests that ran in a region that no configuration makes a home of their route."""
    tries = {entry.attempt: entry for entry in ledger.tries}
    breaches = []
    for run in ledger.runs:
        entry = tries.get(run.attempt)
        if entry is None:
            continue
        routes = [configuration.route_for(body, entry.hostname, entry.path) for body in bodies]
        homes = [route["home_regions"] for route in routes if route is not None]
        region = ledger.regions.get(run.zone)
        if homes and not any(not regions or region in regions for regions in homes):
            breaches.append(Breach(Rule.HOME, run.attempt, f"ran in {region}, at home in {homes}"))
    return breaches


def judge_directory(ledger, bodies):
    """Answers that name a gateway where neither the client is nor all routes of its host name are at home."""
    breaches = []
    for answer in ledger.resolutions:
        for address in answer.addresses:
            region = ledger.gateway_regions.get(address)
            if region == answer.region:
                continue
            if bodies and not any(_may_leave_to(body, answer.hostname, region) for body in bodies):
                breaches.append(Breach(Rule.HOME, answer.hostname, f"{answer.region} was sent to {address} in {region}"))
    return breaches


def _may_leave_to(body, hostname, region):
    homes = [route["home_regions"] for route in body["routes"] if route["hostname"] == hostname]
    return all(not regions or region in regions for regions in homes)
