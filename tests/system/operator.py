"""The operator: sends configurations and evacuations, repeats them unchanged, and reads the newest back."""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import Optional
from urllib.parse import urlsplit

from system import wire
from system.ledger import ConfigOrder, ConfigRead, OrderOutcome

SILENCE_S = 1.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0
MAX_REDIRECTS = 2
FINAL_STATUSES = {400, 409, 412, 413, 422}
TRIES_FOR_OTHER_4XX = 3


@dataclass
class CallResult:
    """The last answer of a call, and whether an earlier try of it may have been taken unseen."""

    answer: Optional[wire.Answer]
    unclear_before: bool
    tries: int


class Operator:
    """Calls a control plane chosen at random, and another one after each failure."""

    def __init__(self, ledger, controls, seed):
        self.ledger = ledger
        self.controls = list(controls)
        self.random = random.Random(seed)

    async def put_config(self, payload, base, valid, bound_s):
        """Sends a configuration until it is settled, `bound_s` seconds at most; returns its ConfigOrder."""
        order = ConfigOrder(_parse(payload), base, valid, sent=time.monotonic())
        self.ledger.orders.append(order)
        headers = [("If-Match", base), ("Content-Type", "application/json")]
        result = await self._settle("PUT", "/v1/config", payload, headers, bound_s)
        order.ended = time.monotonic()
        if result.answer is None:
            return order
        order.status = result.answer.status
        if 200 <= order.status < 300:
            order.outcome = OrderOutcome.ACKNOWLEDGED
        elif 400 <= order.status < 500 and not result.unclear_before:
            order.outcome = OrderOutcome.REFUSED
        return order

    async def read_config(self, bound_s):
        """Asks for the newest configuration until it comes; returns its ConfigRead."""
        read = ConfigRead(time.monotonic(), None)
        self.ledger.reads.append(read)
        result = await self._settle("GET", "/v1/config", b"", [], bound_s)
        if result.answer is not None and result.answer.status == 200:
            read.body = _parse(result.answer.body)
        return read

    async def evacuate(self, zone, bound_s):
        """Asks that a zone be evacuated; returns whether that was acknowledged."""
        return await self._acknowledged("POST", f"/v1/evacuation/{zone}", bound_s)

    async def take_back_evacuation(self, zone, bound_s):
        """Withdraws an evacuation; returns whether that was acknowledged."""
        return await self._acknowledged("DELETE", f"/v1/evacuation/{zone}", bound_s)

    async def _acknowledged(self, method, target, bound_s):
        result = await self._settle(method, target, b"", [], bound_s)
        return result.answer is not None and 200 <= result.answer.status < 300

    async def _settle(self, method, target, body, headers, bound_s):
        """Repeats a call unchanged, at any control plane, until its answer is final."""
        until = time.monotonic() + bound_s
        pause_s = FIRST_PAUSE_S
        result = CallResult(None, False, 0)
        refused = 0
        while time.monotonic() < until:
            address = self.random.choice(self.controls)
            result.answer = await self._one_try(wire.Call(address, method, target, body, headers))
            result.tries += 1
            if result.answer is not None:
                status = result.answer.status
                if 200 <= status < 300 or status in FINAL_STATUSES:
                    return result
                if 400 <= status < 500 and status not in (408, 429):
                    refused += 1
                    if refused >= TRIES_FOR_OTHER_4XX:
                        return result
            if result.answer is None or result.answer.status >= 500:
                result.unclear_before = True
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
        return result

    async def _one_try(self, request):
        """One call with its redirects; None when it got no clear answer."""
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = await wire.call(request, SILENCE_S)
            except (OSError, asyncio.TimeoutError, wire.WireError):
                return None
            if answer.status != 307:
                return answer
            location = urlsplit(answer.headers.get("Location", ""))
            if not location.hostname or not location.port:
                return None
            address = wire.Address(location.hostname, location.port)
            request = wire.Call(address, request.method, location.path, request.body, request.headers)
        return None


def _parse(payload):
    try:
        body = json.loads(payload)
    except ValueError:
        return None
    return body if isinstance(body, dict) else None
