"""Entry point of ``python -m heatherdyke.gateway [METRICS_PORT]``."""

import signal
import sys

# By default SIGHUP, which requests a reload, ends the process.  Ignoring it
# until the handler is installed loses no change, as the settings are read
# after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# asyncio imports ssl if it is available, which takes a tenth of this process's
# memory.  The gateway does not use TLS.
sys.modules["ssl"] = None

from heatherdyke.gateway.run import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
