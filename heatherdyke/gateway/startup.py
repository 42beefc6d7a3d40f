"""What a process does before it serves, and at its end."""

import asyncio
import os
import resource
import signal
from functools import partial
from pathlib import Path

from heatherdyke.errors import SettingsError
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import GATEWAY_STOPPED
from heatherdyke.gateway.events import SETTINGS_AWAITED
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.signal_calls import call_on_signal
from heatherdyke.platform.settings import load_settings

STANDARD_DESCRIPTORS = (0, 1, 2)
# How long settings that are missing or incomplete may take to be written.
SETTINGS_WAIT_S = 10.0
SETTINGS_POLL_S = 0.05
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def open_standard_descriptors() -> None:
    """Open those that are closed, so that no socket gets their numbers."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


async def wait_for_settings(path: Path, log: EventLog) -> GatewaySettings:
    """Return the settings once the file is valid.

    Raises SettingsError if it is not after SETTINGS_WAIT_S, and CancelledError
    on a stop signal.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + SETTINGS_WAIT_S
    task = asyncio.current_task()

    def stop(number: signal.Signals) -> None:
        log.record(
            GATEWAY_STOPPED, signal=number.name, unfinished=0, after_s=0.0
        )
        task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        call_on_signal(loop, number, partial(stop, number))
    logged_reason = ""
    while True:
        try:
            return load_settings(path)
        except SettingsError as error:
            if loop.time() >= give_up_at:
                raise
            reason = str(error)
        if reason != logged_reason:
            log.record(SETTINGS_AWAITED, reason=reason)
            logged_reason = reason
        await asyncio.sleep(SETTINGS_POLL_S)


def raise_descriptor_limit(descriptors: int) -> None:
    """Raise the limit of open files to ``descriptors`` if possible."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = descriptors
    if hard != resource.RLIM_INFINITY:
        wanted = min(descriptors, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def block_signals() -> None:
    """Keep further signals from ending the process before its exit code.

    The event loop restores their default actions when it closes.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
