"""Entry point of the executable archive: select a directory and unpack.

Compiled modules cannot be imported from a zip file, so shiv unpacks the
archive's packages into a directory.  On a diskless machine that directory has
to be on a memory file system.  This module imports only the standard library,
because it runs before the packages are unpacked.
"""

import os
import sys
from collections.abc import Iterable
from pathlib import Path

UNPACK_DIR_VARIABLE = "HEATHERDYKE_UNPACK_DIR"
CANDIDATE_MOUNT_POINTS = ("/run", "/tmp")  # noqa: S108
MEMORY_FILE_SYSTEMS = frozenset({"tmpfs", "ramfs"})
PROC_MOUNTS_PATH = "/proc/self/mounts"
EXIT_CODE_INVALID_SETTINGS = 2


def main() -> None:
    """Unpack this build if it is not unpacked yet, then run the CLI."""
    directory = os.environ.get(UNPACK_DIR_VARIABLE) or find_unpack_directory()
    if directory is None:
        sys.exit(_report_no_memory_mount())
    os.environ["SHIV_ROOT"] = directory
    from _bootstrap import bootstrap

    bootstrap()


def find_unpack_directory() -> str | None:
    """Return this user's directory on a memory file system, or None.

    The directory is created if needed and accessible to this user only.
    """
    mounts = Path(PROC_MOUNTS_PATH).read_text().splitlines()
    for mount_point in memory_mounts(mounts):
        directory = Path(mount_point) / f"heatherdyke-{os.getuid()}"
        if _ensure_private_directory(directory):
            return str(directory)
    return None


def memory_mounts(mounts: Iterable[str]) -> list[str]:
    """Return the candidate mount points that are memory file systems.

    The order of CANDIDATE_MOUNT_POINTS is kept.  ``mounts`` are lines in the
    format of /proc/mounts; of several mounts at one mount point the last is
    the visible one.
    """
    type_by_mount_point = {}
    for line in mounts:
        _, mount_point, file_system, *_ = line.split(" ")
        type_by_mount_point[mount_point] = file_system
    return [
        candidate
        for candidate in CANDIDATE_MOUNT_POINTS
        if type_by_mount_point.get(candidate) in MEMORY_FILE_SYSTEMS
    ]


def _ensure_private_directory(directory: Path) -> bool:
    try:
        directory.mkdir(mode=0o700, exist_ok=True)
        status = directory.lstat()
    except OSError:
        return False
    return status.st_uid == os.getuid() and not status.st_mode & 0o077


def _report_no_memory_mount() -> int:
    print(
        "Error: no writable memory file system at "
        f"{', '.join(CANDIDATE_MOUNT_POINTS)}; mount one there or set "
        f"{UNPACK_DIR_VARIABLE} to a directory",
        file=sys.stderr,
    )
    return EXIT_CODE_INVALID_SETTINGS
