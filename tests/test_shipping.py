"""The file that ships: where it unpacks and what it does to the machine."""

import json
import os
import shutil
import signal
import socket
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

ROOT = Path(__file__).resolve().parent.parent
BUILT = ROOT / "dist" / "heatherdyke"
BUILDER = ROOT / "scripts" / "build_dist.py"
START_TIMEOUT_S = 15.0
# The C library maps this cache of its own, read-only, in most programs.
C_LIBRARY_CACHE = "gconv-modules.cache"

# Reports what the program asks the operating system for, to an open file.
AUDITED_RUN = """
import os, runpy, sys
out = int(sys.argv[1])
watched = {"os.fork", "os.forkpty", "os.posix_spawn", "os.exec",
    "os.system", "subprocess.Popen", "pty.spawn", "mmap.__new__"}
writing = os.O_WRONLY | os.O_RDWR | os.O_CREAT
def hook(event, args):
    if event in watched:
        os.write(out, f"{event} {args!r}\\n".encode())
    opens_path = event == "open" and not isinstance(args[0], int)
    if opens_path and args[2] & writing:
        os.write(out, f"write {args[0]}\\n".encode())
    if event in ("os.mkdir", "os.rename"):
        os.write(out, f"write {args[0]}\\n".encode())
sys.addaudithook(hook)
sys.argv = sys.argv[2:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


@pytest.fixture(scope="module")
def shipped_file():
    """Return the built file; build it unless it is newer than its parts."""
    parts = [*ROOT.glob("heatherdyke/**/*"), ROOT / "pyproject.toml", BUILDER]
    newest = max(path.stat().st_mtime for path in parts if path.is_file())
    if not BUILT.exists() or BUILT.stat().st_mtime < newest:
        command = [sys.executable, str(BUILDER), str(BUILT)]
        subprocess.run(command, check=True, stderr=subprocess.DEVNULL)
    yield BUILT
    remove_unpacked()


def unpack_directory() -> str:
    """Return where the file unpacks: on a memory file system of the machine.

    Where none of the launcher's candidates is one, the tests name another.
    """
    found = find_unpack_directory()
    if found is not None:
        return found
    directory = Path("/dev/shm") / f"heatherdyke-test-{os.getuid()}"
    directory.mkdir(mode=0o700, exist_ok=True)
    return str(directory)


def remove_unpacked() -> None:
    with zipfile.ZipFile(BUILT) as archive:
        environment = json.loads(archive.read("environment.json"))
    unpacked = f"{BUILT.name}_{environment['build_id']}"
    shutil.rmtree(Path(unpack_directory()) / unpacked, ignore_errors=True)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextmanager
def serving(command: list[str], **options):
    """Run ``serve`` with nothing but a directory until it is live."""
    port = free_port()
    command = [*command, "serve", "--name", "a", "--zone", "brescia"]
    command += ["--listen", f"127.0.0.1:{free_port()}"]
    command += ["--internal-listen", f"127.0.0.1:{port}"]
    command += ["--peer-key", "a key for this test"]
    command += ["--platform", f"127.0.0.1:{free_port()}"]
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
        wait_until_live(process, port)
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0


def wait_until_live(process: subprocess.Popen, port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        assert children(process.pid) == []
        try:
            urlopen(f"http://127.0.0.1:{port}/healthz", timeout=1).close()
        except URLError:
            time.sleep(0.02)
        else:
            return
    raise AssertionError("the instance is not live")


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
            continue  # closed meanwhile
    return targets


class TestMemoryMounts:
    def test_only_memory_file_systems_among_the_candidates(self):
        mounts = [
            "/dev/sda1 / ext4 rw 0 0",
            "/dev/sda2 /tmp ext4 rw 0 0",
            "tmpfs /run tmpfs rw 0 0",
            "tmpfs /srv tmpfs rw 0 0",
        ]
        assert memory_mounts(mounts) == ["/run"]

    def test_candidates_are_taken_in_their_order(self):
        mounts = ["tmpfs /tmp tmpfs rw 0 0", "tmpfs /run tmpfs rw 0 0"]
        assert memory_mounts(mounts) == ["/run", "/tmp"]

    def test_memory_shared_between_processes_is_no_candidate(self):
        mounts = ["tmpfs /dev/shm tmpfs rw 0 0"]
        assert memory_mounts(mounts) == []

    def test_the_last_mount_at_a_point_counts(self):
        mounts = ["tmpfs /run tmpfs rw 0 0", "/dev/sda1 /run ext4 rw 0 0"]
        assert memory_mounts(mounts) == []


class TestShippedFile:
    def test_starts_no_process_and_maps_no_shared_memory(self, shipped_file):
        command = [sys.executable, "-I", str(shipped_file)]
        with serving(command) as process:
            maps = Path(f"/proc/{process.pid}/maps").read_text().splitlines()
            targets = open_files(process.pid)
            assert children(process.pid) == []
        shared = [line for line in maps if line.split()[1].endswith("s")]
        assert [m for m in shared if not m.endswith(C_LIBRARY_CACHE)] == []
        assert not any("rw-s" in line for line in maps)
        assert not any("memfd:" in line for line in maps)
        assert not any("io_uring" in target for target in targets)

    def test_writes_only_to_the_memory_file_system(self, shipped_file):
        remove_unpacked()
        with TemporaryFile("w+") as report:
            writer = report.fileno()
            command = [sys.executable, "-I", "-c", AUDITED_RUN, str(writer)]
            command.append(str(shipped_file))
            with serving(command, pass_fds=(writer,)):
                pass
            report.seek(0)
            lines = report.read().splitlines()
        directory = unpack_directory()
        allowed = (f"write {directory}", "write /dev/null")
        assert any(line.startswith(allowed[0]) for line in lines)
        assert [line for line in lines if not line.startswith(allowed)] == []
