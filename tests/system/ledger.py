"""What clients, hosts and operator saw, as records. The judge reads these and nothing else.

All moments are seconds of `time.monotonic()` of the one process that holds the stand-ins.
"""

import enum
from dataclasses import dataclass, field
from typing import Optional


class TryOutcome(enum.Enum):
    """How one try of a client ended."""

    ANSWER = "answer"
    NO_CONNECTION = "no connection"
    CLOSED = "closed without an answer"
    CUT = "answer cut short"
    GARBLED = "bytes that are no answer"
    TIMEOUT = "no answer in time"


class RunEnding(enum.Enum):
    """What a host did at the end of a run."""

    WHOLE = "whole answer"
    BROKE_OFF = "answer lost, cut or garbled by the host"
    UNFINISHED = "still running, or its connection went"


@dataclass
class ClientTry:
    """One try: what was sent, where, and what came back."""

    attempt: str
    gateway: str
    hostname: str
    method: str
    target: str
    body_hash: str
    key: Optional[str]
    repeatable: bool
    sent: float
    deadline_s: float
    ended: float = 0.0
    outcome: TryOutcome = TryOutcome.TIMEOUT
    status: Optional[int] = None
    seal: Optional[str] = None
    answer_attempt: Optional[str] = None
    answer_hash: Optional[str] = None
    surplus: bytes = b""
    retry_after_s: float = 0.0
    proper: bool = True

    @property
    def path(self):
        """The path without the query."""
        return self.target.split("?", 1)[0]


@dataclass
class HostRun:
    """A request that a host began to work on."""

    attempt: str
    service: str
    host: str
    zone: str
    method: str
    target: str
    body_hash: str
    tenant: Optional[str]
    started: float
    status: Optional[int] = None
    seal: Optional[str] = None
    answer_hash: Optional[str] = None
    ending: RunEnding = RunEnding.UNFINISHED


class OrderOutcome(enum.Enum):
    """What the operator knows of an order."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNCLEAR = "no clear answer"


@dataclass
class ConfigOrder:
    """A configuration the operator sent. `body` is None when the bytes were no JSON object."""

    body: Optional[dict]
    base: str
    valid: bool
    sent: float
    ended: float = 0.0
    status: Optional[int] = None
    outcome: OrderOutcome = OrderOutcome.UNCLEAR

    @property
    def version(self):
        """The number of the configuration, or None where it has none that can be read."""
        try:
            return int(self.body["epoch"], 16)
        except (TypeError, KeyError, ValueError):
            return None


@dataclass
class ConfigRead:
    """A configuration the operator read back; `body` is None when none came."""

    asked: float
    body: Optional[dict]


@dataclass
class GatewayLife:
    """One life of a gateway's process, as the platform started and stopped it."""

    address: str
    started: float
    terminated: Optional[float] = None
    killed: Optional[float] = None
    ended: Optional[float] = None


@dataclass
class Resolution:
    """An answer of the directory: the gateways that it names to a client in a region."""

    hostname: str
    region: str
    addresses: list


@dataclass
class Ledger:
    """All records of one test."""

    tries: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    arrived: set = field(default_factory=set)  # ids of requests that reached a host, whether or not they ran
    turned_away: int = 0
    orders: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    lives: list = field(default_factory=list)
    leaving: dict = field(default_factory=dict)  # by host id: when the platform's list shows that it leaves
    resolutions: list = field(default_factory=list)
    regions: dict = field(default_factory=dict)  # by zone
    gateway_regions: dict = field(default_factory=dict)  # by address for clients
    faults: list = field(default_factory=list)  # moments at which processes were killed or stood still
