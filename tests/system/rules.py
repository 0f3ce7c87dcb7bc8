"""The rules that the judge knows, their bounds, and a breach of one."""

import enum
from dataclasses import dataclass


class Rule(enum.Enum):
    """Each name stands for what must never happen."""

    MIXED = "an answer that is not the host's whole answer to this request"
    UNASKED = "a run that no client asked for"
    TWICE = "a second run of a request that must not be repeated"
    REFUSED = "a run of a request that was promised not to run"
    DENIED = "proper requests refused"
    ROUTE = "a run at a service that no configuration names for it, or with a key that none held"
    LOST = "a request lost around a planned end"
    DRAIN = "a run at a host that had said long before that it leaves"
    HOME = "a run, or a client sent, outside the homes of its route"
    QUOTA = "more runs of a tenant than its quota"
    CONFIG = "a configuration that is not in force, refused, lost or older was followed"


@dataclass(frozen=True)
class Breach:
    """One broken rule. `subject` is an attempt id, a tenant, or a version."""

    rule: Rule
    subject: str
    detail: str

    def __str__(self):
        return f"{self.rule.name} {self.subject}: {self.detail}"


@dataclass(frozen=True)
class Bounds:
    """The figures of the rules, times in seconds."""

    config_apply_s: float = 3.0
    downgrade_slack_s: float = 0.25
    grace_s: float = 6.0
    drain_s: float = 3.0
    contact_s: float = 4.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: int = 20
