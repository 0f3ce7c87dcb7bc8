"""The judge: reads what clients, hosts and operator saw, and names every rule that was broken.

It reads the ledger only. The rules on configurations stand in judge_configuration.py.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from system import configuration, judge_configuration, judge_homes
from system.ledger import RunEnding, TryOutcome
from system.rules import Bounds, Breach, Rule

PROMISES = {408, 421, 429, 503}
MAX_DENIED = 5
DENIED_PER = 500


@dataclass
class Verdict:
    """All breaches, and the counts of what was looked at."""

    breaches: list = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def broken(self, rule):
        """The breaches of one rule."""
        return [breach for breach in self.breaches if breach.rule is rule]


def judge(ledger, bounds=Bounds()):
    """Judges a whole ledger."""
    runs_of = defaultdict(list)
    for run in ledger.runs:
        runs_of[run.attempt].append(run)
    breaches = []
    breaches += judge_mixed(ledger, runs_of)
    breaches += judge_unasked(ledger)
    breaches += judge_promises(ledger, runs_of)
    breaches += judge_lost(ledger, runs_of, bounds)
    breaches += judge_drain(ledger, bounds)
    breaches += judge_quota(ledger, bounds)
    breaches += judge_denied(ledger, bounds)
    breaches += judge_homes.judge(ledger)
    breaches += judge_configuration.judge(ledger, bounds)
    return Verdict(breaches, _count(ledger, runs_of))


def judge_mixed(ledger, runs_of):
    """MIXED: an answer that is not the whole answer of the host to this very request."""
    run_of_seal = {run.seal: run for run in ledger.runs if run.seal is not None}
    breaches = []
    for entry in ledger.tries:
        reason = _mixed_reason(entry, run_of_seal, runs_of[entry.attempt])
        if reason is not None:
            breaches.append(Breach(Rule.MIXED, entry.attempt, reason))
    return breaches


def _mixed_reason(entry, run_of_seal, runs):
    host_broke_off = any(run.ending is RunEnding.BROKE_OFF for run in runs)
    if entry.outcome is TryOutcome.GARBLED and not host_broke_off:
        return "bytes that are no answer"
    if entry.surplus and not _is_refusal(entry.surplus):
        return f"bytes while no request waits: {entry.surplus[:40]!r}"
    if entry.outcome is not TryOutcome.ANSWER:
        return None
    if entry.answer_attempt not in (None, entry.attempt):
        return f"answer of request {entry.answer_attempt}"
    run = run_of_seal.get(entry.seal)
    if run is not None and run.attempt != entry.attempt:
        return f"stamp of request {run.attempt}"
    if not 200 <= entry.status < 300:
        return None
    if entry.seal is None:
        return "success without a stamp"
    if run is None:
        return "success with a stamp that no host gave"
    if not 200 <= (run.status or 0) < 300:
        return f"success though the host answered {run.status}"
    if run.answer_hash != entry.answer_hash:
        return "success whose body is not the host's whole body"
    return None


def _is_refusal(surplus):
    """Whether the bytes are a gateway's own 4xx or 503 on an idle connection, such as 408."""
    return surplus.startswith((b"HTTP/1.1 4", b"HTTP/1.1 503"))


def judge_unasked(ledger):
    """UNASKED: a run that no client asked for in this form, or for another tenant than the key's."""
    tries = {entry.attempt: entry for entry in ledger.tries}
    sent = judge_configuration.sent_configurations(ledger)
    breaches = []
    for run in ledger.runs:
        reason = _unasked_reason(run, tries.get(run.attempt), sent)
        if reason is not None:
            breaches.append(Breach(Rule.UNASKED, run.attempt, reason))
    return breaches


def _unasked_reason(run, entry, sent):
    if entry is None:
        return "no client sent this id"
    if run.method != entry.method:
        return f"method {entry.method} became {run.method}"
    if run.target != entry.target:
        return f"target {entry.target} became {run.target}"
    if run.body_hash != entry.body_hash:
        return "body changed"
    if run.tenant not in _possible_tenants(entry, sent):
        return f"tenant {run.tenant} is not the key's"
    return None


def _possible_tenants(entry, sent):
    names = set()
    for body in sent:
        tenant = configuration.tenant_of(body, entry.key)
        if tenant is not None:
            names.add(tenant["name"])
        route = configuration.route_for(body, entry.hostname, entry.path)
        if tenant is None or (route is not None and route.get("anonymous", False)):
            names.add(None)
    return names


def judge_promises(ledger, runs_of):
    """TWICE and REFUSED: requests that are not repeatable run once at most, and never after a promise."""
    breaches = []
    for entry in ledger.tries:
        runs = runs_of[entry.attempt]
        if entry.repeatable:
            continue
        if len(runs) > 1:
            breaches.append(Breach(Rule.TWICE, entry.attempt, f"{len(runs)} runs"))
        if entry.outcome is TryOutcome.ANSWER and entry.status in PROMISES and runs:
            breaches.append(Breach(Rule.REFUSED, entry.attempt, f"{entry.status}, yet it ran"))
    return breaches


def judge_lost(ledger, runs_of, bounds):
    """LOST: around a SIGTERM, a request that reached a host ends without a whole answer, and not by its doing."""
    lives = [life for life in ledger.lives if life.terminated is not None]
    breaches = []
    for entry in ledger.tries:
        runs = runs_of[entry.attempt]
        if entry.outcome not in (TryOutcome.CLOSED, TryOutcome.CUT):
            continue
        if not runs and entry.attempt not in ledger.arrived:
            continue
        if any(run.ending is RunEnding.BROKE_OFF for run in runs):
            continue
        if entry.ended - entry.sent >= entry.deadline_s:
            continue
        if any(_around_end(entry, life, bounds) for life in lives):
            breaches.append(Breach(Rule.LOST, entry.attempt, f"{entry.outcome.value} at {entry.gateway}"))
    return breaches


def _around_end(entry, life, bounds):
    if entry.gateway != life.address:
        return False
    if life.killed is not None and life.killed <= entry.ended:
        return False
    if life.ended is not None and entry.sent > life.ended:  # it met a later life
        return False
    return entry.sent <= life.terminated + bounds.grace_s + 1.0 and entry.ended >= life.terminated


def judge_drain(ledger, bounds):
    """DRAIN: a run at a host later than the bound after the list showed that it leaves, with no fault lately."""
    breaches = []
    for run in ledger.runs:
        shown = ledger.leaving.get(run.host)
        if shown is None or run.started <= shown + bounds.drain_s:
            continue
        if any(run.started - bounds.contact_s - bounds.drain_s <= fault <= run.started for fault in ledger.faults):
            continue
        late_ms = (run.started - shown) * 1000
        breaches.append(Breach(Rule.DRAIN, run.attempt, f"{late_ms:.0f} ms after {run.host} was seen to leave"))
    return breaches


def judge_quota(ledger, bounds):
    """QUOTA: a tenant's requests that were sent and run inside some window, against its highest limit."""
    sent_at = {entry.attempt: entry.sent for entry in ledger.tries}
    spans = defaultdict(list)
    for run in ledger.runs:
        if run.tenant is not None and run.attempt in sent_at:
            spans[run.tenant].append((sent_at[run.attempt], run.started))
    breaches = []
    for tenant, limit in _highest_limits(ledger, bounds).items():
        for start, _ in spans[tenant]:
            end = start + bounds.quota_window_s
            inside = sum(1 for sent, started in spans[tenant] if start <= sent and started <= end)
            if inside > limit:
                reason = f"{inside} in a window that has room for {limit:.0f}"
                breaches.append(Breach(Rule.QUOTA, tenant, reason))
                break
    return breaches


def _highest_limits(ledger, bounds):
    """The most a tenant may run in a window under any configuration sent, for tenants that have a limit."""
    limits = {}
    unlimited = set()
    for body in judge_configuration.sent_configurations(ledger):
        for tenant in body.get("tenants", []):
            name = tenant["name"]
            if not tenant.get("rate_per_s"):
                unlimited.add(name)
                continue
            quota = tenant["rate_per_s"] * bounds.quota_window_s + tenant.get("burst", 0)
            limit = quota * (1 + bounds.quota_overshoot) + bounds.quota_slack
            limits[name] = max(limit, limits.get(name, 0.0))
    return {name: limit for name, limit in limits.items() if name not in unlimited}


def judge_denied(ledger, bounds):
    """DENIED: more than a few proper requests refused that all configurations in force allow."""
    denied = [entry for entry in ledger.tries if _is_denied(entry, ledger, bounds)]
    if len(denied) <= MAX_DENIED + len(ledger.tries) / DENIED_PER:
        return []
    return [Breach(Rule.DENIED, entry.attempt, f"{entry.status} for {entry.target}") for entry in denied]


def _is_denied(entry, ledger, bounds):
    if entry.outcome is not TryOutcome.ANSWER or not entry.proper or entry.seal is not None:
        return False
    if not 300 <= entry.status < 500 or entry.status in (408, 421, 429):
        return False
    in_force = judge_configuration.may_be_in_force(ledger, entry.sent, entry.ended, bounds)
    return bool(in_force) and all(
        configuration.allows(order.body, entry.hostname, entry.path, entry.key) for order in in_force
    )


def _count(ledger, runs_of):
    counts = Counter()
    counts["tries"] = len(ledger.tries)
    counts["runs"] = len(ledger.runs)
    counts["turned away by hosts"] = ledger.turned_away
    counts["second runs"] = sum(len(runs) - 1 for runs in runs_of.values() if len(runs) > 1)
    for run in ledger.runs:
        counts[f"runs: {run.ending.value}"] += 1
    for entry in ledger.tries:
        if entry.outcome is TryOutcome.ANSWER:
            counts[f"answers {entry.status}"] += 1
        else:
            counts[f"tries: {entry.outcome.value}"] += 1
    counts["configurations"] = len(ledger.orders)
    return counts
