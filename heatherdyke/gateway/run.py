"""Runs a gateway with the settings file that the environment names."""

import asyncio
import os
import sys
import time
import traceback

from heatherdyke.errors import SettingsError
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.event_log import write_events_to_stdout
from heatherdyke.gateway.events import GATEWAY_FAILED
from heatherdyke.gateway.mechanisms import DISABLE_VARIABLE
from heatherdyke.gateway.mechanisms import parse_disabled
from heatherdyke.gateway.process import GatewayProcess
from heatherdyke.gateway.startup import block_signals
from heatherdyke.gateway.startup import open_standard_descriptors
from heatherdyke.gateway.startup import raise_descriptor_limit
from heatherdyke.gateway.startup import wait_for_settings
from heatherdyke.gateway.stderr import write_to_stderr
from heatherdyke.gateway.task_end import cancel_other_tasks
from heatherdyke.platform.settings import settings_path

EXIT_CODE_UNEXPECTED = 1
# Frames of an unexpected error that the last line of the log names.
MAX_FRAMES = 5


async def serve(metrics_port: int) -> None:
    """Run a gateway with the settings file until it is stopped."""
    try:
        await _serve(metrics_port)
    finally:
        block_signals()


async def _serve(metrics_port: int) -> None:
    path = settings_path()
    loop = asyncio.get_running_loop()
    settings = await wait_for_settings(path, EventLog(loop.time))
    disabled = parse_disabled(os.environ.get(DISABLE_VARIABLE, ""))
    write_events_to_stdout(settings.name)
    raise_descriptor_limit(settings.max_descriptors)
    process = GatewayProcess.from_settings(
        path, settings, loop, metrics_port, disabled
    )
    await process.run()
    await cancel_other_tasks()


def main() -> int:
    """Run the process; return its exit code."""
    try:
        open_standard_descriptors()
        # Until the settings are known, lines do not name the instance.
        write_events_to_stdout("")
        metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else 0
        asyncio.run(serve(metrics_port))
    except asyncio.CancelledError:
        # A stop signal while the settings were awaited.
        return 0
    except SettingsError as error:
        return _fail(str(error), SettingsError.exit_code)
    except Exception as error:
        return _fail(describe(error), EXIT_CODE_UNEXPECTED)
    return 0


def describe(error: Exception) -> str:
    """Return an error in one line, with the last frames of its traceback."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = " > ".join(
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
        for frame in frames
    )
    return f"{error!r} at {places}"


def _fail(reason: str, exit_code: int) -> int:
    """Log why the process ends, as its last line; return the exit code."""
    log = EventLog(time.monotonic)
    log.record(GATEWAY_FAILED, reason=reason, exit_code=exit_code)
    write_to_stderr(reason)
    return exit_code
