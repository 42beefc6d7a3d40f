"""Writes the last words of a process to standard error."""

import os
from contextlib import suppress

STANDARD_ERROR = 2


def write_to_stderr(text: str) -> None:
    """Write a line, if it can be written.

    ``sys.stderr`` would fail again at the interpreter's end, which then
    changes the exit code.
    """
    with suppress(OSError):
        os.write(STANDARD_ERROR, f"{text}\n".encode())
