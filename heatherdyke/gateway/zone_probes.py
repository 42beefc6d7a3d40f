"""Probes other zones that do not respond, and tells the own zone.

The load balancer sends a zone's clients elsewhere only once few of its
instances are ready, and in a large fleet most get no request for seconds.  So
the first one that notices tells others, which probe for themselves before they
believe it and pass it on.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from heatherdyke.gateway.events import ZONE_SILENT
from heatherdyke.gateway.leaf_pools import LeafPools
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import ZONE_PATH
from heatherdyke.gateway.peer_messages import ZoneReport
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.search_plan import plan_search
from heatherdyke.gateway.shared_state import SharedState

# How long a probe waits for a connection; zones are a few milliseconds apart.
PROBE_TIMEOUT_S = 0.15
# Instances and leafs of a zone that are probed at once.
PROBED_INSTANCES = 2
PROBED_LEAFS = 1
# Silent zones that are probed again at a time, and the share of these probes
# that go to leafs: all instances of a zone may have ended.
REPROBED_ZONES = 2
LEAF_PROBE_SHARE = 0.25


def ring_successors(name: str, names: Iterable[str]) -> list[str]:
    """Return the names at distance 1, 2, 4, ... after ``name``.

    If each one that learns something tells its successors, all of n names know
    it after log2(n) steps, each through several others.
    """
    ring = sorted({*names, name})
    position = ring.index(name)
    distance = 1
    successors = []
    while distance < len(ring):
        successors.append(ring[(position + distance) % len(ring)])
        distance *= 2
    return successors


class ZoneProbes:
    """Finds out which suspect zones are silent."""

    __slots__ = ("_shared", "_silent_count")

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._silent_count = 0
        shared.links.on_suspect = self._on_suspect
        shared.peers.links.on_suspect = self._on_suspect

    def handle(self, report: ZoneReport) -> None:
        """Probe the zones that do not respond to an instance of this zone."""
        shared = self._shared
        if report.zone == shared.settings.zone:
            self._probe(set(report.silent_zones) & self._other_zones())

    def update(self) -> None:
        """Probe silent zones again; check what the own zone can serve.

        Once one of them responds again, all the others are probed.
        """
        shared = self._shared
        silent = shared.isolation.zones.silent_zones()
        has_fewer = len(silent) < self._silent_count
        self._silent_count = len(silent)
        count = len(silent) if has_fewer else REPROBED_ZONES
        chosen = shared.random.sample(sorted(silent), min(count, len(silent)))
        for zone in chosen:
            takes_leaf = shared.random.random() < LEAF_PROBE_SHARE
            if takes_leaf or not shared.peers.of_zone(zone):
                self._send_probes(zone, instances=0, leafs=1)
            else:
                self._send_probes(zone, instances=1, leafs=0)
        self._update_cut_off(silent)

    def _on_suspect(self, zone: str) -> None:
        """Probe a zone, and all others if none has responded lately."""
        zones = {zone}
        now = self._shared.loop.time()
        if self._shared.isolation.others_unreachable(now):
            zones |= self._other_zones()
        self._probe(zones)

    def _other_zones(self) -> set[str]:
        shared = self._shared
        return shared.peers.known_zones() - {shared.settings.zone}

    def _probe(self, zones: Collection[str]) -> None:
        """Probe the zones that have not been since their last response."""
        shared = self._shared
        if not shared.has(Mechanism.UNREACHABLE_ZONES):
            return
        now = shared.loop.time()
        reachability = shared.isolation.zones
        probed = [
            zone
            for zone in sorted(zones)
            if not reachability.is_probed(zone)
            and self._send_probes(zone, PROBED_INSTANCES, PROBED_LEAFS)
        ]
        for zone in probed:
            reachability.record_probe(zone, now)
        if probed:
            shared.loop.call_later(
                PROBE_TIMEOUT_S, self._end_probes, probed, now
            )

    def _send_probes(self, zone: str, instances: int, leafs: int) -> bool:
        """Check some instances and leafs; return False if there are none."""
        shared = self._shared
        peers = self._sample(shared.peers.of_zone(zone), instances)
        found = self._sample(self._leafs_to_probe(zone), leafs)
        _check(shared.peers.pools, peers)
        _check(shared.pools, found)
        return bool(peers or found)

    def _leafs_to_probe(self, zone: str) -> list[Leaf]:
        """Return the leafs of a zone that bear a health check."""
        shared = self._shared
        now = shared.loop.time()
        if zone in shared.leafs.zones_out:
            return []
        return [
            leaf
            for leaf in shared.leafs.leaf_by_id.values()
            if leaf.entry.zone == zone
            and not leaf.is_draining
            and not leaf.is_cold(now)
        ]

    def _sample(self, leafs: Sequence[Leaf], count: int) -> list[Leaf]:
        return self._shared.random.sample(leafs, min(count, len(leafs)))

    def _end_probes(self, zones: Sequence[str], probed_at: float) -> None:
        """Judge the zones, later if this process was paused.

        It may then have answers to read first.
        """
        loop = self._shared.loop
        if loop.time() - probed_at > 2 * PROBE_TIMEOUT_S:
            loop.call_later(PROBE_TIMEOUT_S, self._judge, zones, probed_at)
        else:
            self._judge(zones, probed_at)

    def _judge(self, zones: Sequence[str], probed_at: float) -> None:
        """Take zones that did not answer for silent; tell the own zone."""
        shared = self._shared
        reachability = shared.isolation.zones
        silent = [
            zone
            for zone in zones
            if reachability.conclude_probe(zone, probed_at)
        ]
        if not silent:
            return
        self._update_cut_off(reachability.silent_zones())
        shared.log.record(
            ZONE_SILENT,
            zones=silent,
            failures=[reachability.link_by_zone[x].failures for x in silent],
            turned_away=shared.isolation.is_cut_off,
        )
        self._tell(silent)

    def _update_cut_off(self, silent: frozenset[str]) -> None:
        """Note whether clients should be sent to other zones."""
        others = self._other_zones()
        no_other_responds = bool(others) and others <= silent
        isolation = self._shared.isolation
        isolation.is_cut_off = no_other_responds and not self._serves_alone()

    def _serves_alone(self) -> bool:
        """Return whether the own zone has leafs for enough shards."""
        shared = self._shared
        access = shared.selector.zone_access()
        if shared.config is None:
            return True
        return all(
            plan_search(shared, route, access, route.shards).meets_min_share(
                route
            )
            for route in shared.config.routes
            if route.shards
        )

    def _tell(self, silent: list[str]) -> None:
        shared = self._shared
        zone = shared.settings.zone
        near = shared.peers.of_zone(zone)
        body = encode_message(ZoneReport(zone, silent))
        for name in ring_successors(
            shared.settings.name, (peer.leaf_id for peer in near)
        ):
            peer = shared.peers.find(name)
            PeerSend(shared, peer, lambda: body, _ignore).start_at_once(
                ZONE_PATH
            )


def _check(pools: LeafPools, leafs: Iterable[Leaf]) -> None:
    for leaf in leafs:
        pools.check(leaf, on_new_connection=True)


def _ignore(response: LeafResponse | None, reason: str) -> None:
    """Ignore whether a report arrived: others tell the same instance."""
