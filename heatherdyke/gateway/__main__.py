"""The program: ``python -m heatherdyke.gateway [METRICS_PORT]``."""

import sys

# asyncio imports ssl where it can, a tenth of this process's memory; nothing
# here speaks TLS.
sys.modules["ssl"] = None

from heatherdyke.gateway.run import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
