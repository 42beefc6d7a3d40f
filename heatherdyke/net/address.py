"""Socket addresses: an IP address and a port."""

from dataclasses import dataclass
from ipaddress import ip_address

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """The address a process listens on; ``host`` is an IP address."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port`` with a port from 0, which means any free one.

        Raises ValueError if malformed.
        """
        host, _, port_text = text.rpartition(":")
        if not port_text.isdigit() or int(port_text) > MAX_PORT:
            raise ValueError(f"{text!r} does not end in a port number")
        ip_address(host)
        return cls(host, int(port_text))

    @classmethod
    def parse_target(cls, text: str) -> "Address":
        """Parse ``host:port`` of an address to connect to.

        Raises ValueError if malformed or if the port is 0.
        """
        address = cls.parse(text)
        if address.port == 0:
            raise ValueError(f"{text!r} has the port 0")
        return address

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP-address:port`` with a port from 1 to 65535.

    An IPv6 address may be in brackets, which are removed.  Raises ValueError
    if malformed.
    """
    host, _, port = address.rpartition(":")
    ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number} is not from 1 to 65535")
    return host.strip("[]"), number
