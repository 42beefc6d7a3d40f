"""Runs a gateway with the settings file that the environment names."""

import asyncio
import os
import sys

from heatherdyke.errors import SettingsError
from heatherdyke.gateway.event_log import write_events_to_stdout
from heatherdyke.gateway.mechanisms import DISABLE_VARIABLE
from heatherdyke.gateway.mechanisms import parse_disabled
from heatherdyke.gateway.process import GatewayProcess
from heatherdyke.platform.settings import load_settings
from heatherdyke.platform.settings import settings_path


async def serve(metrics_port: int) -> None:
    """Run a gateway with the settings file until it is stopped."""
    path = settings_path()
    settings = load_settings(path)
    disabled = parse_disabled(os.environ.get(DISABLE_VARIABLE, ""))
    write_events_to_stdout(settings.name)
    loop = asyncio.get_running_loop()
    process = GatewayProcess.from_settings(
        path, settings, loop, metrics_port, disabled
    )
    await process.run()


def main() -> int:
    """Run the process; return its exit code."""
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    try:
        asyncio.run(serve(metrics_port))
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        return SettingsError.exit_code
    return 0
