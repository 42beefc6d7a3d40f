"""The program: ``python -m heatherdyke.gateway [METRICS_PORT]``."""

import signal
import sys

# The settings are read after this, so that a reload asked for meanwhile, which
# would end the process, needs nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# asyncio imports ssl where it can, a tenth of this process's memory; nothing
# here speaks TLS.
sys.modules["ssl"] = None

from heatherdyke.gateway.run import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
