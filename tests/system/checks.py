"""Checks with a count of those that passed and failed, and waits for a state with a bound."""

import asyncio
import time

POLL_S = 0.02


class Checks:
    """Counts checks and names the failed ones."""

    def __init__(self):
        self.passed = 0
        self.failed = 0

    def check(self, holds, what):
        """Counts one check; returns whether it passed."""
        if holds:
            self.passed += 1
        else:
            self.failed += 1
            print(f"FAILED: {what}", flush=True)
        return bool(holds)

    def equal(self, found, expected, what):
        """Checks that two values are the same."""
        return self.check(found == expected, f"{what}: {found!r}, expected {expected!r}")

    def close(self):
        """Prints the closing line; returns the exit code."""
        print(f"{self.passed} passed, {self.failed} failed", flush=True)
        return 1 if self.failed else 0


async def until(state, bound_s):
    """Waits until `state()`, plain or a coroutine, holds; returns whether it did within `bound_s` seconds."""
    end = time.monotonic() + bound_s
    while True:
        found = state()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        if time.monotonic() >= end:
            return False
        await asyncio.sleep(POLL_S)
