"""What a process does before it serves."""

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_descriptors() -> None:
    """Open those that are closed, so that no socket gets their numbers."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
