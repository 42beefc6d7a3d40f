"""Imports the gateway and runs it."""

import os
import sys

from heatherdyke.gateway.stderr import write_to_stderr

EXIT_CODE = 1
# Where the build installs the libraries, in the repository.
LIBRARIES = ("target", "deps")


def start() -> int:
    """Run the process; return its exit code."""
    # asyncio imports ssl if it is available, which takes a tenth of this
    # process's memory.  The gateway does not use TLS.
    sys.modules["ssl"] = None
    sys.path.append(built_libraries())
    try:
        from heatherdyke.gateway.run import main
    except ImportError as error:
        write_to_stderr(
            f"{error}: the libraries are missing or of another kind of "
            "machine; run the build"
        )
        return EXIT_CODE
    return main()


def built_libraries() -> str:
    """Return the folder of the build's libraries.

    It comes last on the path, for when the environment does not name it.
    """
    package = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    return os.path.join(os.path.dirname(package), *LIBRARIES)
