"""What the kernel tells of processes: processor time, memory, descriptors and bytes of TCP sessions."""

import os
import pathlib
import re
import subprocess
from dataclasses import dataclass

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
BYTES_SENT = re.compile(r"bytes_sent:(\d+)")
BYTES_RECEIVED = re.compile(r"bytes_received:(\d+)")


@dataclass(frozen=True)
class Usage:
    """Of one process, since its start; memory as it is now and at its peak, in KiB."""

    processor_s: float
    resident_kib: int
    peak_kib: int
    descriptors: int


def usage(pid):
    """The usage of a process that runs."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return Usage(
        ticks / TICKS_PER_SECOND,
        _kib(status, "VmRSS"),
        _kib(status, "VmHWM"),
        len(os.listdir(f"/proc/{pid}/fd")),
    )


def available_kib():
    """Memory of the machine that can be had without harm to others."""
    return _kib(pathlib.Path("/proc/meminfo").read_text(), "MemAvailable")


def total_kib():
    """Memory of the machine."""
    return _kib(pathlib.Path("/proc/meminfo").read_text(), "MemTotal")


def _kib(text, name):
    found = re.search(rf"^{name}:\s+(\d+) kB", text, re.MULTILINE)
    return int(found.group(1)) if found else 0


def bytes_opened(pids, port):
    """Payload bytes, both ways, on TCP sessions that these processes have opened to `port` of any machine."""
    command = ["ss", "-tinpHO", "dport", "=", f":{port}"]
    lines = subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines()
    own = [line for line in lines if any(f"pid={pid}," in line for pid in pids)]
    counted = [pattern.search(line) for line in own for pattern in (BYTES_SENT, BYTES_RECEIVED)]
    return sum(int(found.group(1)) for found in counted if found)


def folder_kib(folder):
    """What the files of a folder take up."""
    return sum(path.stat().st_size for path in pathlib.Path(folder).rglob("*") if path.is_file()) // 1024
