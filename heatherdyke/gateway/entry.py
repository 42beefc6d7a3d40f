"""Imports the gateway and runs it."""

import sys

EXIT_CODE = 1


def start() -> int:
    """Run the process; return its exit code."""
    # asyncio imports ssl if it is available, which takes a tenth of this
    # process's memory.  The gateway does not use TLS.
    sys.modules["ssl"] = None
    try:
        from heatherdyke.gateway.run import main
    except ImportError as error:
        if sys.stderr is not None:
            sys.stderr.write(
                f"{error}: the libraries are missing or of another kind of "
                "machine; run the build\n"
            )
        return EXIT_CODE
    return main()
