"""Entry point of the shipped file: choose where to unpack, then start.

Compiled modules cannot be imported from within a zip file.  shiv unpacks the
file's packages into a directory; on a machine without disks that has to be
on a memory file system.  This module uses the standard library only, because
it runs before anything is unpacked.
"""

import os
import sys
from collections.abc import Iterable
from pathlib import Path

OVERRIDE_VARIABLE = "HEATHERDYKE_UNPACK_DIR"
CANDIDATES = ("/run", "/tmp")  # noqa: S108
MEMORY_FILE_SYSTEMS = frozenset({"tmpfs", "ramfs"})
MOUNTS_PATH = "/proc/self/mounts"
EXIT_CODE_BAD_SETTING = 2


def main() -> None:
    """Unpack if this build is not unpacked yet, and run the command line."""
    directory = os.environ.get(OVERRIDE_VARIABLE) or find_unpack_directory()
    if directory is None:
        sys.exit(_report_no_directory())
    os.environ["SHIV_ROOT"] = directory
    from _bootstrap import bootstrap

    bootstrap()


def find_unpack_directory() -> str | None:
    """Return an own directory on a memory file system, or None.

    The directory is created with access for this user only.
    """
    mounts = Path(MOUNTS_PATH).read_text().splitlines()
    for mount_point in memory_mounts(mounts):
        directory = Path(mount_point) / f"heatherdyke-{os.getuid()}"
        if _make_own(directory):
            return str(directory)
    return None


def memory_mounts(mounts: Iterable[str]) -> list[str]:
    """Return the candidates that are memory file systems, in their order.

    ``mounts`` are lines in the format of /proc/mounts.
    """
    type_by_point = {}
    for line in mounts:
        _, point, file_system, *_ = line.split(" ")
        type_by_point[point] = file_system
    return [
        candidate
        for candidate in CANDIDATES
        if type_by_point.get(candidate) in MEMORY_FILE_SYSTEMS
    ]


def _make_own(directory: Path) -> bool:
    try:
        directory.mkdir(mode=0o700, exist_ok=True)
        status = directory.lstat()
    except OSError:
        return False
    return status.st_uid == os.getuid() and not status.st_mode & 0o077


def _report_no_directory() -> int:
    print(
        "Error: no memory file system can be written at "
        f"{', '.join(CANDIDATES)}; mount one there, or name a directory in "
        f"{OVERRIDE_VARIABLE}",
        file=sys.stderr,
    )
    return EXIT_CODE_BAD_SETTING
