"""Processes of hollow gateways, and what they print."""

import asyncio
import json
from dataclasses import dataclass, field

SAMPLE_BOUND_S = 8.0
STOP_BOUND_S = 3.0


@dataclass
class Load:
    """Synthetic quota requests at each gateway."""

    rate_per_s: float = 0.0
    tenants: int = 1


@dataclass
class HollowProcess:
    """One process; `first` is the number of its first gateway among all."""

    program: str
    settings: str
    count: int
    start_gap_ms: int
    life_s: int
    load: Load
    seed: int = 1
    configurations: dict = field(default_factory=dict)  # version to the moments it came into force
    heard: dict = field(default_factory=dict)  # version to the moments it was heard
    lists: dict = field(default_factory=dict)  # node to (instances, moment)
    sample: dict = field(default_factory=dict)
    samples: int = 0
    _process: object = None
    _reader: object = None

    async def start(self):
        """Begins it and the reading of what it prints."""
        options = ["-n", str(self.count), "-g", str(self.start_gap_ms), "-l", str(self.life_s)]
        options += ["-q", str(self.load.rate_per_s), "-t", str(self.load.tenants), "--seed", str(self.seed)]
        self._process = await asyncio.create_subprocess_exec(
            self.program, "-s", str(self.settings), *options, stdout=asyncio.subprocess.PIPE
        )
        self._reader = asyncio.create_task(self._read())

    @property
    def pid(self):
        """Its number."""
        return self._process.pid

    @property
    def running(self):
        """Whether it has not ended."""
        return self._process.returncode is None

    async def stop(self):
        """Ends it by SIGTERM, after a bound by SIGKILL."""
        if self.running:
            self._process.terminate()
        try:
            await asyncio.wait_for(self._process.wait(), STOP_BOUND_S)
        except asyncio.TimeoutError:
            self._process.kill()
            await self._process.wait()
        await self._reader

    async def next_sample(self):
        """The next sample that it prints."""
        seen = self.samples
        for _ in range(int(SAMPLE_BOUND_S / 0.02)):
            if self.samples > seen:
                return dict(self.sample)
            await asyncio.sleep(0.02)
        raise TimeoutError("no sample of a process of hollow gateways")

    async def _read(self):
        async for line in self._process.stdout:
            event = json.loads(line)
            if event["event"] == "sample":
                self.sample = event
                self.samples += 1
            elif event["event"] == "configuration":
                self.configurations.setdefault(event["version"], []).append(event["in_force"] / 1e6)
                self.heard.setdefault(event["version"], []).append(event["heard"] / 1e6)
            else:
                self.lists[event["node"]] = (event["version"], event["in_force"] / 1e6)
