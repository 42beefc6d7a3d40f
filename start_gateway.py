"""Starts a gateway: ``python3 -S start_gateway.py [METRICS_PORT]``."""

import _signal

# By default SIGHUP, which requests a reload, ends the process.  Ignoring it
# until the handler is installed loses no change, as the settings are read
# after this.  ``_signal`` is there at once; ``signal``, or ``python3 -m``,
# would first import other modules.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from heatherdyke.gateway.entry import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start())
