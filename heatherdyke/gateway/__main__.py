"""Entry point of ``python -m heatherdyke.gateway [METRICS_PORT]``.

``start_gateway.py`` does the same and ignores signals earlier.
"""

import _signal
import sys

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from heatherdyke.gateway.entry import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start())
