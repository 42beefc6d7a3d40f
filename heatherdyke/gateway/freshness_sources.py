"""Where an instance learns of the store's latest changes.

One instance reads the store; the others ask it, or one that has asked it.  An
instance that gets no recent answer reads the store itself.
"""

from collections.abc import Callable
from collections.abc import Mapping
from enum import Enum

import msgspec

from heatherdyke.gateway.freshness import CheckTiming
from heatherdyke.gateway.freshness import UnchangedRange
from heatherdyke.gateway.freshness import instance_to_ask
from heatherdyke.gateway.freshness_reads import FreshnessReads
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import FRESHNESS_PATH
from heatherdyke.gateway.peer_messages import FreshnessReport
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.store_watcher import StoreWatcher
from heatherdyke.platform.store_era import EraOrder

# How long an instance is not asked again that has not answered, or that knew
# less than the store, as it may be the last to reach the store again.
NO_ANSWER_PAUSE_S = 10.0
OLD_ANSWER_PAUSE_S = 2.0
# Kinds of this share of the age at which one is read are read with it.
SOON_SHARE = 0.5


class FreshnessSource(Enum):
    """Where an instance has learned of the latest changes."""

    INSTANCE = "instance"
    STORE = "store"
    # Neither of them has answered.
    NONE = "none"


class FreshnessSources:
    """Asks another instance, or reads the store."""

    __slots__ = (
        "_shared",
        "_on_learned",
        "_reads",
        "_failed_until",
    )

    def __init__(
        self,
        shared: SharedState,
        watcher_by_kind: Mapping[str, StoreWatcher],
        on_learned: Callable[[], None],
    ) -> None:
        self._shared = shared
        self._on_learned = on_learned
        self._reads = FreshnessReads(shared, watcher_by_kind, on_learned)
        self._failed_until: dict[str, float] = {}

    def close(self) -> None:
        """Close the connections to the store, as the process ends."""
        self._reads.close()

    async def learn(self) -> FreshnessSource:
        """Ask an instance, or else read; return which of them succeeded."""
        asked = self._instance_to_ask()
        timing = self._timing
        max_age_s = timing.max_age_s
        report = None
        if asked is not None:
            report = await self._request_report(asked)
            if report is not None:
                max_age_s += timing.ask_timeout_s
                if not self._old_kinds(max_age_s):
                    return FreshnessSource.INSTANCE
        old_kinds = self._old_kinds(max_age_s)
        if not await self._reads.read(old_kinds, timing.arrival_s):
            return FreshnessSource.NONE
        if asked is not None:
            pause_s = OLD_ANSWER_PAUSE_S if report else NO_ANSWER_PAUSE_S
            now = self._shared.loop.time()
            self._failed_until[asked.leaf_id] = now + pause_s
        if self._old_kinds(max_age_s):
            return FreshnessSource.NONE
        return FreshnessSource.STORE

    def _old_kinds(self, max_age_s: float) -> list[str]:
        """Return the kinds whose latest changes are not known well enough.

        Those that are soon are among them, so that all are read together.
        """
        now = self._shared.loop.time()
        by_kind = self._shared.freshness.by_kind
        age_by_name = {
            name: now - kind.known_at for name, kind in by_kind.items()
        }
        if max(age_by_name.values()) <= max_age_s:
            return []
        soon_s = SOON_SHARE * max_age_s
        return [name for name, age_s in age_by_name.items() if age_s > soon_s]

    def _instance_to_ask(self) -> Leaf | None:
        shared = self._shared
        silent_zones = shared.isolation.zones.silent_zones()
        found = (shared.peers.find(name) for name in shared.peers.names())
        names = [
            peer.leaf_id
            for peer in found
            if peer.entry.zone not in silent_zones
        ]
        name = instance_to_ask(
            shared.settings.name,
            names,
            self._failed_until,
            shared.loop.time(),
        )
        return None if name is None else shared.peers.find(name)

    async def _request_report(self, peer: Leaf) -> FreshnessReport | None:
        """Ask another instance and learn from its answer, None without one."""
        answered = self._shared.loop.create_future()

        def on_end(response: LeafResponse | None, reason: str) -> None:
            if not answered.done():
                answered.set_result(response)

        body = encode_message(FreshnessReport([]))
        send = PeerSend(self._shared, peer, lambda: body, on_end)
        send.start_at_once(FRESHNESS_PATH, self._timing.ask_timeout_s)
        asked_at = self._shared.loop.time()
        response = await answered
        if response is None:
            return None
        try:
            report = decode_message(response.body, FreshnessReport)
        except msgspec.MsgspecError:
            return None
        self._learn_report(report, asked_at)
        return report

    def _learn_report(self, report: FreshnessReport, asked_at: float) -> None:
        """Learn what was known when the question was sent.

        The answer may have been delayed on its way, or be of a past era.
        """
        era = self._shared.store_era
        if era.observe(report.era) is EraOrder.PAST:
            return
        for item in report.kinds:
            kind = self._shared.freshness.by_kind.get(item.kind)
            if kind is not None:
                unchanged = UnchangedRange(item.after, item.until)
                kind.learn(unchanged, asked_at - item.age_s)
        self._on_learned()

    @property
    def _timing(self) -> CheckTiming:
        return CheckTiming.from_bounds(self._shared.settings.bounds)
