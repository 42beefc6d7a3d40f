"""Processes of a fleet."""

import asyncio
import signal
import sys
from pathlib import Path

from heatherdyke_bench.errors import FleetError

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
LISTENING_PREFIX = "listening on "


class FleetProcess:
    """Runs ``python -m MODULE`` with a log file of its own."""

    def __init__(
        self, name: str, arguments: list[str], log: Path, tree: Path
    ) -> None:
        self.name = name
        self.address = ""
        self.caller_address = ""
        self._arguments = arguments
        self._log = log
        self._tree = tree
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Return the process id; raises FleetError if it never started."""
        if self._process is None:
            raise FleetError(f"{self.name} was not started", "start it")
        return self._process.pid

    async def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=self._tree,
            )

    async def wait_until_listening(self) -> None:
        """Read the address that a stand-in prints; raises FleetError."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = (await self._process.stdout.readline()).decode()
        except TimeoutError:
            line = ""
        if not line.startswith(LISTENING_PREFIX):
            raise FleetError(
                f"{self.name} printed {line!r} instead of its address",
                f"read its log {self._log}",
            )
        self.address = line.removeprefix(LISTENING_PREFIX).strip()

    def send_signal(self, number: int) -> None:
        """Send a signal if the process still runs."""
        if self.running:
            self._process.send_signal(number)

    async def stop(self, number: int = signal.SIGTERM) -> None:
        """Signal the process, wait for its end, and kill it on a timeout."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
