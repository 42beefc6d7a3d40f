"""Imports the gateway and runs it."""

import sys


def start() -> int:
    """Run the process; return its exit code."""
    # asyncio imports ssl if it is available, which takes a tenth of this
    # process's memory.  The gateway does not use TLS.
    sys.modules["ssl"] = None
    from heatherdyke.gateway.run import main

    return main()
