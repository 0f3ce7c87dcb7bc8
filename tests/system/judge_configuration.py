"""The judge's rules on configurations: ROUTE, and CONFIG, which lets versions go forward only."""

from system import configuration
from system.ledger import OrderOutcome, TryOutcome
from system.rules import Breach, Rule

REFUSALS = {401, 403, 404}


def judge(ledger, bounds):
    """All breaches of ROUTE and CONFIG."""
    breaches = []
    breaches += judge_route(ledger)
    breaches += judge_orders(ledger)
    breaches += judge_read_back(ledger)
    breaches += judge_old_versions(ledger, bounds)
    breaches += judge_backwards(ledger, bounds)
    return breaches


def sent_configurations(ledger):
    """The bodies of all configurations ever sent that can be read."""
    return [order.body for order in ledger.orders if order.body is not None and "routes" in order.body]


def accepted_orders(ledger):
    """The valid orders that were not refused, so may be in force, by rising version."""
    orders = [order for order in ledger.orders if order.valid and order.outcome is not OrderOutcome.REFUSED]
    return sorted(orders, key=lambda order: order.version)


def may_be_in_force(ledger, sent, ended, bounds):
    """The orders by which a request in this span may be handled; empty while there was none for sure."""
    accepted = [order for order in accepted_orders(ledger) if order.sent <= ended]
    settled = [
        order.version
        for order in accepted
        if order.outcome is OrderOutcome.ACKNOWLEDGED and order.ended + bounds.config_apply_s < sent
    ]
    if not settled:
        return []
    return [order for order in accepted if order.version >= max(settled)]


def _allows_service(body, entry, service):
    route = configuration.route_for(body, entry.hostname, entry.path)
    return route is not None and service in configuration.services_of(route)


def _allows_run(body, entry, service):
    return _allows_service(body, entry, service) and configuration.allows(
        body, entry.hostname, entry.path, entry.key
    )


def _runs_with_tries(ledger):
    tries = {entry.attempt: entry for entry in ledger.tries}
    return [(run, tries[run.attempt]) for run in ledger.runs if run.attempt in tries]


def judge_route(ledger):
    """ROUTE, and CONFIG for runs that only a refused or invalid configuration allows."""
    accepted = [order.body for order in accepted_orders(ledger)]
    sent = sent_configurations(ledger)
    breaches = []
    for run, entry in _runs_with_tries(ledger):
        if any(_allows_run(body, entry, run.service) for body in accepted):
            continue
        if any(_allows_run(body, entry, run.service) for body in sent):
            breaches.append(Breach(Rule.CONFIG, run.attempt, "only a refused configuration allows this run"))
        else:
            breaches.append(Breach(Rule.ROUTE, run.attempt, f"{entry.target} ran at {run.service}"))
    return breaches


def judge_orders(ledger):
    """CONFIG: an invalid configuration acknowledged, or two acknowledged on top of the same version."""
    breaches = []
    first_on_base = {}
    for order in ledger.orders:
        if order.outcome is not OrderOutcome.ACKNOWLEDGED:
            continue
        if not order.valid:
            breaches.append(Breach(Rule.CONFIG, str(order.version), "acknowledged though invalid"))
        other = first_on_base.setdefault(order.base, order)
        if other.body != order.body:
            breaches.append(Breach(Rule.CONFIG, str(order.version), f"a second one on top of {order.base}"))
    return breaches


def judge_read_back(ledger):
    """CONFIG: what is read back is older than what was acknowledged, not as it was sent, or does not come."""
    breaches = []
    for read in ledger.reads:
        reason = _read_back_reason(ledger, read)
        if reason is not None:
            breaches.append(Breach(Rule.CONFIG, "read back", reason))
    return breaches


def _read_back_reason(ledger, read):
    accepted = accepted_orders(ledger)
    acknowledged = [
        order.version
        for order in accepted
        if order.outcome is OrderOutcome.ACKNOWLEDGED and order.ended <= read.asked
    ]
    if not acknowledged:
        return None
    if read.body is None:
        return "no configuration came"
    for order in accepted:
        if order.body == read.body:
            return None if order.version >= max(acknowledged) else f"version {order.version} is older"
    return "it differs from what was sent"


def judge_old_versions(ledger, bounds):
    """CONFIG: a request sent well after an acknowledgement is handled as only an older version allows."""
    runs = {}
    for run in ledger.runs:
        runs.setdefault(run.attempt, []).append(run)
    accepted = accepted_orders(ledger)
    breaches = []
    for entry in ledger.tries:
        in_force = may_be_in_force(ledger, entry.sent, entry.ended, bounds)
        if not in_force:
            continue
        for run in runs.get(entry.attempt, []):
            allowing = [order for order in accepted if _allows_run(order.body, entry, run.service)]
            if allowing and not any(order in in_force for order in allowing):
                reason = f"ran at {run.service} by an older version"
                breaches.append(Breach(Rule.CONFIG, entry.attempt, reason))
        if _refused_by_old_version(entry, in_force):
            reason = f"{entry.status} though route and key are there"
            breaches.append(Breach(Rule.CONFIG, entry.attempt, reason))
    return breaches


def _refused_by_old_version(entry, in_force):
    if entry.outcome is not TryOutcome.ANSWER or entry.status not in REFUSALS or entry.seal is not None:
        return False
    return all(configuration.allows(order.body, entry.hostname, entry.path, entry.key) for order in in_force)


def judge_backwards(ledger, bounds):
    """CONFIG: within one life, a gateway handles a request by an older version than it already followed."""
    handled = {}
    orders = accepted_orders(ledger)
    for run, entry in _runs_with_tries(ledger):
        versions = [order.version for order in orders if _allows_run(order.body, entry, run.service)]
        if versions:
            life = (entry.gateway, _life_number(ledger, entry))
            handled.setdefault(life, []).append((run, entry, min(versions), max(versions)))
    breaches = []
    for life, entries in handled.items():
        for run, entry, _, newest in entries:
            shown_before = entry.sent - bounds.downgrade_slack_s
            seen = [low for other, _, low, _ in entries if other.started < shown_before]
            if seen and newest < max(seen):
                breaches.append(Breach(Rule.CONFIG, entry.attempt, f"{life[0]} went back behind {max(seen)}"))
    return breaches


def _life_number(ledger, entry):
    """Which life of the gateway a request met: the count of its starts before the request."""
    return sum(1 for life in ledger.lives if life.address == entry.gateway and life.started <= entry.sent)
