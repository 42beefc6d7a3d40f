"""The executable archive: where it unpacks and which resources it uses."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
import zipfile
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryFile
from urllib.error import URLError
from urllib.request import urlopen

import pytest

from heatherdyke.shipped_main import find_unpack_directory
from heatherdyke.shipped_main import memory_mounts
from heatherdyke.standin.free_address import free_address

ROOT = Path(__file__).resolve().parent.parent
ARCHIVE = ROOT / "dist" / "heatherdyke"
BUILD_SCRIPT = ROOT / "scripts" / "build_dist.py"
START_TIMEOUT_S = 15.0
# The C library maps this cache, read-only and shared, in most programs.
C_LIBRARY_CACHE = "gconv-modules.cache"

# Runs a program with an audit hook that reports process creation, memory maps
# and writes to an open file descriptor.
AUDITED_RUN = """
import os, runpy, sys
out = int(sys.argv[1])
reported = {"os.fork", "os.forkpty", "os.posix_spawn", "os.exec",
    "os.system", "subprocess.Popen", "pty.spawn", "mmap.__new__"}
write_flags = os.O_WRONLY | os.O_RDWR | os.O_CREAT
def hook(event, args):
    if event in reported:
        os.write(out, f"{event} {args!r}\\n".encode())
    opens_path = event == "open" and not isinstance(args[0], int)
    if opens_path and args[2] & write_flags:
        os.write(out, f"write {args[0]}\\n".encode())
    if event in ("os.mkdir", "os.rename"):
        os.write(out, f"write {args[0]}\\n".encode())
sys.addaudithook(hook)
sys.argv = sys.argv[2:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


@pytest.fixture(scope="module")
def archive_path():
    """Return the built archive; rebuild it if a source file is newer."""
    sources = [
        *ROOT.glob("heatherdyke/**/*"),
        ROOT / "pyproject.toml",
        BUILD_SCRIPT,
    ]
    newest = max(path.stat().st_mtime for path in sources if path.is_file())
    if not ARCHIVE.exists() or ARCHIVE.stat().st_mtime < newest:
        command = [sys.executable, str(BUILD_SCRIPT), str(ARCHIVE)]
        subprocess.run(command, check=True, stderr=subprocess.DEVNULL)
    yield ARCHIVE
    remove_unpacked()


def unpack_directory() -> str:
    """Return the directory on a memory file system to unpack the archive in.

    Falls back to /dev/shm if the launcher finds no directory.
    """
    found = find_unpack_directory()
    if found is not None:
        return found
    directory = Path("/dev/shm") / f"heatherdyke-test-{os.getuid()}"
    directory.mkdir(mode=0o700, exist_ok=True)
    return str(directory)


def remove_unpacked() -> None:
    with zipfile.ZipFile(ARCHIVE) as archive:
        environment = json.loads(archive.read("environment.json"))
    unpacked = f"{ARCHIVE.name}_{environment['build_id']}"
    shutil.rmtree(Path(unpack_directory()) / unpacked, ignore_errors=True)


@contextmanager
def serving(command: list[str], **options):
    """Run ``serve`` and wait until it is live.

    The unpack directory is the only environment variable.
    """
    internal_address = free_address()
    command = [*command, "serve", "--name", "a", "--zone", "brescia"]
    command += ["--listen", free_address()]
    command += ["--internal-listen", internal_address]
    command += ["--peer-key", "a key for this test"]
    command += ["--platform", free_address()]
    command += ["--drain-s", "0.2"]
    environment = {"HEATHERDYKE_UNPACK_DIR": unpack_directory()}
    process = subprocess.Popen(
        command,
        env=environment,
        cwd="/",
        stderr=subprocess.DEVNULL,
        **options,
    )
    try:
        wait_until_live(process, internal_address)
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0


def wait_until_live(process: subprocess.Popen, address: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        assert children(process.pid) == []
        try:
            urlopen(f"http://{address}/healthz", timeout=1).close()
        except URLError:
            time.sleep(0.02)
        else:
            return
    raise AssertionError(f"not live within {START_TIMEOUT_S} s")


def children(pid: int) -> list[str]:
    lines = []
    for task in Path(f"/proc/{pid}/task").iterdir():
        lines.extend((task / "children").read_text().split())
    return lines


def open_files(pid: int) -> list[str]:
    targets = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            targets.append(os.readlink(path))
        except FileNotFoundError:
            continue  # closed since the directory was listed
    return targets


class TestMemoryMounts:
    def test_only_candidates_on_memory_file_systems_are_returned(self):
        mounts = [
            "/dev/sda1 / ext4 rw 0 0",
            "/dev/sda2 /tmp ext4 rw 0 0",
            "tmpfs /run tmpfs rw 0 0",
            "tmpfs /srv tmpfs rw 0 0",
        ]
        assert memory_mounts(mounts) == ["/run"]

    def test_candidate_order_is_kept(self):
        mounts = ["tmpfs /tmp tmpfs rw 0 0", "tmpfs /run tmpfs rw 0 0"]
        assert memory_mounts(mounts) == ["/run", "/tmp"]

    def test_dev_shm_is_not_a_candidate(self):
        mounts = ["tmpfs /dev/shm tmpfs rw 0 0"]
        assert memory_mounts(mounts) == []

    def test_last_mount_at_a_mount_point_applies(self):
        mounts = ["tmpfs /run tmpfs rw 0 0", "/dev/sda1 /run ext4 rw 0 0"]
        assert memory_mounts(mounts) == []


class TestShippedFile:
    def test_starts_no_process_and_maps_no_shared_memory(self, archive_path):
        command = [sys.executable, "-I", str(archive_path)]
        with serving(command) as process:
            maps = Path(f"/proc/{process.pid}/maps").read_text().splitlines()
            targets = open_files(process.pid)
            assert children(process.pid) == []
        shared = [line for line in maps if line.split()[1].endswith("s")]
        assert [m for m in shared if not m.endswith(C_LIBRARY_CACHE)] == []
        assert not any("rw-s" in line for line in maps)
        assert not any("memfd:" in line for line in maps)
        assert not any("io_uring" in target for target in targets)

    def test_writes_only_to_the_unpack_directory(self, archive_path):
        remove_unpacked()
        with TemporaryFile("w+") as report:
            writer = report.fileno()
            command = [sys.executable, "-I", "-c", AUDITED_RUN, str(writer)]
            command.append(str(archive_path))
            with serving(command, pass_fds=(writer,)):
                pass
            report.seek(0)
            lines = report.read().splitlines()
        directory = unpack_directory()
        allowed = (f"write {directory}", "write /dev/null")
        assert any(line.startswith(allowed[0]) for line in lines)
        assert [line for line in lines if not line.startswith(allowed)] == []
