"""Imports the gateway and runs it."""

import sys

from heatherdyke.gateway.stderr import write_to_stderr

EXIT_CODE = 1


def start() -> int:
    """Run the process; return its exit code."""
    # asyncio imports ssl if it is available, which takes a tenth of this
    # process's memory.  The gateway does not use TLS.
    sys.modules["ssl"] = None
    try:
        from heatherdyke.gateway.run import main
    except ImportError as error:
        write_to_stderr(
            f"{error}: the libraries are missing or of another kind of "
            "machine; run the build"
        )
        return EXIT_CODE
    return main()
