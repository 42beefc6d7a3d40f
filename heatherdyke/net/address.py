"""An IP number and a port."""

from dataclasses import dataclass
from ipaddress import ip_address

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens; ``host`` is an IP number."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address in ``host:port``; raises ValueError."""
        host, _, port_text = text.rpartition(":")
        if not port_text.isdigit() or int(port_text) > MAX_PORT:
            raise ValueError(f"{text!r} does not end in a port")
        ip_address(host)
        return cls(host, int(port_text))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raises ValueError unless ``IP-number:port``."""
    host, _, port = address.rpartition(":")
    ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number} is not from 1 to 65535")
    return host.strip("[]"), number
