"""Which other zones respond to this instance (pure).

Each instance of a large fleet serves few requests.  So what a request shows of
one leaf or instance counts for its zone: where several in a row fail and none
responds, the zone is suspect, and a few probes tell whether it is silent.
"""

from dataclasses import dataclass
from dataclasses import field

# This many failures in a row, and no response, make a zone suspect.
MIN_FAILURES = 3


@dataclass(slots=True)
class ZoneLink:
    """The failures of a zone's leafs and instances since their last response.

    ``probed_at`` is the time of the probes since then, None if there were
    none.  ``is_silent`` states that they have got no response.
    """

    failures: int = 0
    last_response_at: float = float("-inf")
    probed_at: float | None = None
    is_silent: bool = False


@dataclass(slots=True)
class ZoneReachability:
    """The links to the other zones, by zone.

    A suspect zone gets requests only where no other zone has a leaf.  A
    silent one gets none until a probe is answered.
    """

    own_zone: str
    link_by_zone: dict[str, ZoneLink] = field(default_factory=dict)

    def record_response(self, zone: str, now: float) -> None:
        """Record a response of a leaf or an instance of a zone."""
        link = self._link(zone)
        if link.failures or link.probed_at is not None:
            link = self.link_by_zone[zone] = ZoneLink()
        link.last_response_at = now

    def record_failure(self, zone: str, sent_at: float) -> bool:
        """Record a failure; return whether it makes the zone suspect.

        The failure of what was sent before the last response does not count.
        """
        link = self._link(zone)
        if zone == self.own_zone or sent_at < link.last_response_at:
            return False
        link.failures += 1
        return link.failures == MIN_FAILURES

    def record_probe(self, zone: str, now: float) -> None:
        """Record that the zone is probed."""
        self._link(zone).probed_at = now

    def conclude_probe(self, zone: str, probed_at: float) -> bool:
        """Return whether the zone has become silent.

        That is, it has not responded since the probes of ``probed_at``.
        """
        link = self._link(zone)
        if link.probed_at != probed_at or link.is_silent:
            return False
        link.is_silent = True
        return True

    def is_probed(self, zone: str) -> bool:
        """Return whether probes were sent since the zone's last response."""
        return self._link(zone).probed_at is not None

    def suspect_zones(self) -> frozenset[str]:
        """Return the zones that may be unreachable, the silent ones too."""
        return frozenset(
            zone
            for zone, link in self.link_by_zone.items()
            if link.failures >= MIN_FAILURES or link.is_silent
        )

    def silent_zones(self) -> frozenset[str]:
        """Return the zones that do not respond to probes either."""
        return frozenset(
            zone for zone, link in self.link_by_zone.items() if link.is_silent
        )

    def _link(self, zone: str) -> ZoneLink:
        return self.link_by_zone.setdefault(zone, ZoneLink())
