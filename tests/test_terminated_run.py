"""A test run that is terminated leaves no process behind."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).with_name("conftest.py")
END_TIMEOUT_S = 20

TEST_WITH_A_PROCESS = """\
import asyncio
import sys
from pathlib import Path

from heatherdyke_bench.process import FleetProcess

COMMAND = ["timeit", "-n1", "-r1", "__import__('time').sleep(60)"]


def test_process():
    async def run():
        process = FleetProcess("p", COMMAND, Path("log"), Path.cwd())
        await process.start()
        try:
            print("started", process.pid, file=sys.stderr, flush=True)
            await asyncio.sleep(60)
        finally:
            await process.stop()

    asyncio.run(run())
"""


class TestTerminatedRun:
    # Guards against: processes of a terminated run disturb later runs.
    def test_stops_the_processes_of_its_fleet(self, tmp_path):
        (tmp_path / "conftest.py").write_text(CONFTEST.read_text())
        (tmp_path / "test_it.py").write_text(TEST_WITH_A_PROCESS)
        run = subprocess.Popen(
            [sys.executable, "-m", "pytest", "-s", "test_it.py"],
            cwd=tmp_path,
            stderr=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            text=True,
        )
        started = int(run.stderr.readline().removeprefix("started "))
        run.send_signal(signal.SIGTERM)
        _, errors = run.communicate(timeout=END_TIMEOUT_S)
        with pytest.raises(ProcessLookupError):
            os.kill(started, 0)
        assert run.returncode == 128 + signal.SIGTERM, errors
