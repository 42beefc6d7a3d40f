"""Calls back in the event loop when the process gets a signal.

asyncio alone tells the loop of a signal by a byte in a buffer, and loses the
signal when the buffer is full of earlier ones.
"""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


def call_on_signal(
    loop: asyncio.AbstractEventLoop,
    number: signal.Signals,
    callback: Callable[[], None],
) -> None:
    """Call back after a signal, once for all that arrive until then.

    Call this in the main thread.  It replaces an earlier callback.
    """
    is_waiting = False

    def call() -> None:
        nonlocal is_waiting
        is_waiting = False
        callback()

    def on_signal(number: int, frame: FrameType | None) -> None:
        nonlocal is_waiting
        if not is_waiting:
            is_waiting = True
            loop.call_soon_threadsafe(call)

    # A signal that arrives meanwhile is delivered to the new handler.
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, (number,))
    try:
        # The loop wakes up for signals that have a handler of its own.
        loop.add_signal_handler(number, _do_nothing)
        signal.signal(number, on_signal)
        _ignore_full_buffer()
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked)


def _do_nothing() -> None:
    """Do nothing: ``on_signal`` is called beside this."""


def _ignore_full_buffer() -> None:
    """Write nothing to standard error when the loop is awake anyway."""
    descriptor = signal.set_wakeup_fd(-1)
    signal.set_wakeup_fd(descriptor, warn_on_full_buffer=False)
