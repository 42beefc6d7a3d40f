"""Reads how much memory this process uses."""

from pathlib import Path

STATUS_PATH = Path("/proc/self/status")
PEAK_FIELD = "VmHWM:"
CURRENT_FIELD = "VmRSS:"
BYTES_PER_KB = 1024


def read_memory_bytes(field: str) -> int:
    """Return a field of the process's status, 0 if it cannot be read."""
    try:
        text = STATUS_PATH.read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith(field):
            return int(line.split()[1]) * BYTES_PER_KB
    return 0
