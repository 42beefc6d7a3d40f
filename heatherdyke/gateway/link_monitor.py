"""Watches this instance's connections to other zones and to all leafs."""

from heatherdyke.gateway.events import CLIENTS_READMITTED
from heatherdyke.gateway.events import CLIENTS_TURNED_AWAY
from heatherdyke.gateway.events import LEAFS_REACHABLE
from heatherdyke.gateway.events import LEAFS_UNREACHABLE
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.zone_probes import ZoneProbes


class LinkMonitor:
    """Logs when connections are lost and regained; checks lost leafs."""

    __slots__ = ("_shared", "_zone_probes", "_leafs_lost_since")

    def __init__(self, shared: SharedState, zone_probes: ZoneProbes) -> None:
        self._shared = shared
        self._zone_probes = zone_probes
        self._leafs_lost_since: float | None = None

    def update(self, now: float) -> None:
        """Compare with the state at the last update."""
        self._zone_probes.update()
        self._update_isolation(now)
        self._update_leaf_links(now)

    def _update_isolation(self, now: float) -> None:
        """Log when an isolation starts or ends."""
        isolation = self._shared.isolation
        isolated_since = isolation.unready_since
        isolation.update(now)
        if (isolated_since is None) == (isolation.unready_since is None):
            return
        if isolated_since is None:
            self._shared.log.record(
                CLIENTS_TURNED_AWAY,
                failures=isolation.failures,
                silent_s=round(now - isolation.last_response_at, 3),
                refused_share=round(isolation.refused_share, 2),
            )
            return
        away_s = round(now - isolated_since, 3)
        self._shared.log.record(CLIENTS_READMITTED, turned_away_s=away_s)

    def _update_leaf_links(self, now: float) -> None:
        """Check leafs while all are lost; log when that starts or ends."""
        shared = self._shared
        lost = not shared.links.can_connect()
        if lost:
            shared.selector.check_lost_leafs()
        if lost == (self._leafs_lost_since is not None):
            return
        if lost:
            self._leafs_lost_since = now
            shared.log.record(
                LEAFS_UNREACHABLE,
                failed_leafs=len(shared.links.failed_leafs),
                silent_s=round(now - shared.links.last_response_at, 3),
            )
            return
        lost_s = round(now - self._leafs_lost_since, 3)
        self._leafs_lost_since = None
        shared.log.record(LEAFS_REACHABLE, unreachable_s=lost_s)
