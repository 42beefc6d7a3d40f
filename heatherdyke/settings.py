"""Settings of an instance, from flags and environment variables."""

from dataclasses import dataclass
from dataclasses import field
from ipaddress import ip_address

from heatherdyke.errors import SettingsError
from heatherdyke.mechanisms import Mechanism
from heatherdyke.mechanisms import parse_mechanisms
from heatherdyke.net.address import split_address
from heatherdyke.observe.event_registry import Severity
from heatherdyke.peers.key import MIN_SECRET_CHARACTERS
from heatherdyke.peers.key import PeerKey

LOG_LEVELS = tuple(severity.value for severity in Severity)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one instance, fixed for the life of the process.

    Addresses are ``host:port`` with a literal IP address.  ``name`` stays
    the same across restarts, while each start gets a new incarnation.
    Callers are served on ``listen``, other instances and operators on
    ``internal_listen``; ``advertise``, if given, is the address under which
    they reach ``internal_listen``.  Outgoing connections are bound to the
    IP address ``source``, if given.  ``peers`` are the internal addresses
    of instances to query when the platform is down at startup.
    """

    name: str
    zone: str
    listen: str
    internal_listen: str
    platform: str
    peer_key: PeerKey
    advertise: str = ""
    source: str = ""
    peers: tuple[str, ...] = ()
    heartbeat_interval_s: float = 0.5
    lease_s: float = 2.0
    drain_s: float = 20.0
    extra_load_share: float = 0.05
    log_level: str = "INFO"
    disabled: frozenset[Mechanism] = field(default_factory=frozenset)

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Return whether ``mechanism`` has not been disabled."""
        return mechanism not in self.disabled

    @property
    def address(self) -> str:
        """Return the address at which other instances reach this one."""
        return self.advertise or self.internal_listen

    @classmethod
    def from_values(
        cls,
        disabled: str = "",
        peers: str = "",
        peer_key: str = "",
        **values,
    ) -> "Settings":
        """Validate ``values`` and return the settings.

        ``disabled`` is a comma-separated list of mechanism names, ``peers``
        one of addresses; ``values`` are the other settings by name.  Raises
        SettingsError, which lists all invalid values.
        """
        faults: list[str] = []
        for name in ("name", "zone"):
            if not values.get(name):
                faults.append(f"--{name} is empty: give a name")
        for name in ("listen", "internal_listen", "platform"):
            _check_address(name, values.get(name, ""), faults)
        if values.get("advertise"):
            _check_address("advertise", values["advertise"], faults)
        _check_host("source", values.get("source", ""), faults)
        if len(peer_key) < MIN_SECRET_CHARACTERS:
            faults.append(
                f"--peer-key has fewer than {MIN_SECRET_CHARACTERS} "
                "characters: use the same long secret for all instances"
            )
        peer_addresses = tuple(filter(None, peers.split(",")))
        for address in peer_addresses:
            _check_address("peers", address, faults)
        for name in ("heartbeat_interval_s", "lease_s", "drain_s"):
            if values.get(name, 1.0) <= 0:
                flag = name.replace("_", "-")
                faults.append(
                    f"--{flag} {values[name]} is not greater than 0: give "
                    "a positive number of seconds"
                )
        if not 0 <= values.get("extra_load_share", 0.0) <= 1:
            faults.append(
                f"--extra-load-share {values['extra_load_share']} is not "
                "between 0 and 1: give a share such as 0.05"
            )
        if values.get("log_level", "INFO") not in LOG_LEVELS:
            known = ", ".join(LOG_LEVELS)
            faults.append(
                f"--log-level {values['log_level']!r} is unknown: use one of "
                f"{known}"
            )
        mechanisms = parse_mechanisms(Mechanism, "--disable", disabled, faults)
        if faults:
            raise SettingsError(faults)
        return cls(
            disabled=mechanisms,
            peers=peer_addresses,
            peer_key=PeerKey(peer_key),
            **values,
        )


def _check_address(name: str, address: str, faults: list[str]) -> None:
    try:
        split_address(address)
    except ValueError:
        flag = name.replace("_", "-")
        faults.append(
            f"--{flag} {address!r} is not an IP address and port: "
            "write it as 127.0.0.1:8080"
        )


def _check_host(name: str, host: str, faults: list[str]) -> None:
    try:
        ip_address(host or "127.0.0.1")
    except ValueError:
        faults.append(
            f"--{name} {host!r} is not an IP address: write it as 127.0.0.1"
        )
