"""Lets a test run that is terminated stop the processes it has started."""

import signal

import pytest


def pytest_configure(config: pytest.Config) -> None:
    """End the run on SIGTERM as on an interrupt: fixtures are torn down."""
    signal.signal(signal.SIGTERM, exit_session)


def exit_session(number: int, frame: object) -> None:
    """Raise out of the running test, so that its ``finally`` blocks run."""
    pytest.exit(f"ended by signal {number}", 128 + number)
