"""Runs the operator's commands against the control planes of a test fleet."""

import asyncio
import json
import os
from dataclasses import dataclass

COMMAND_TIMEOUT_S = 20.0


@dataclass
class Outcome:
    """Exit code and output of a command."""

    code: int
    out: str
    error: str

    def json(self):
        """Its standard output, parsed as JSON."""
        return json.loads(self.out)


class Commands:
    """Runs the program in a folder, with the addresses of the control planes in its environment."""

    def __init__(self, program, controls, folder):
        self.program = os.path.abspath(program)
        self.folder = folder
        self.environment = {
            "PATH": os.path.dirname(self.program) + ":" + os.environ["PATH"],
            "LANG": "C.UTF-8",
            "DEWWEIR_CONTROL": ",".join(str(control) for control in controls),
        }

    async def run(self, *words):
        """Runs one command with these arguments; returns its Outcome."""
        process = await asyncio.create_subprocess_exec(
            self.program, *words, **self._streams(asyncio.subprocess.PIPE)
        )
        return await self._finish(process)

    async def shell(self, line):
        """Runs a shell command line that calls the program as `dewweir`; stderr is merged into the output."""
        process = await asyncio.create_subprocess_shell(line, **self._streams(asyncio.subprocess.STDOUT))
        return await self._finish(process)

    def _streams(self, error):
        return {
            "cwd": self.folder,
            "env": self.environment,
            "stdin": asyncio.subprocess.DEVNULL,
            "stdout": asyncio.subprocess.PIPE,
            "stderr": error,
        }

    async def _finish(self, process):
        try:
            out, error = await asyncio.wait_for(process.communicate(), COMMAND_TIMEOUT_S)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
            raise
        return Outcome(process.returncode, out.decode(), (error or b"").decode())


async def leader_of(commands, fleet):
    """The control plane process that is the leader, or None."""
    outcome = await commands.run("status", "--json")
    if outcome.code != 0:
        return None
    for control_plane in outcome.json()["control_planes"]:
        if control_plane.get("role") == "leader":
            return next(p for p in fleet.control_planes if p.machine.name == control_plane["node"])
    return None
