"""What a process does before it serves, and at its end."""

import os
import signal

STANDARD_DESCRIPTORS = (0, 1, 2)
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def open_standard_descriptors() -> None:
    """Open those that are closed, so that no socket gets their numbers."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)


def block_signals() -> None:
    """Keep further signals from ending the process before its exit code.

    The event loop restores their default actions when it closes.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
