"""Exchanges with other instances which requests crash leafs.

The crashes under one request are counted by a few instances, its owners,
which follow from the list of instances.  Their verdicts go to all instances;
one of which a leaf has completed the request replies that it is clear.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence

import msgspec

from heatherdyke.gateway.connection_share import rendezvous_weight
from heatherdyke.gateway.crash_evidence import CrashEvidence
from heatherdyke.gateway.crash_evidence import Evidence
from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.events import CRASH_SIGHTED
from heatherdyke.gateway.events import QUARANTINE_CHANGED
from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import MAX_NEWS
from heatherdyke.gateway.peer_messages import NEWS_PATH
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.quarantine import STALE_LIST_S
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.shared_state import SharedState

OWNER_COUNT = 3
# How many instances are asked about a request that the store lists.
CHECK_COUNT = 3
# A verdict is told to new instances for this long.
TOLD_S = 30.0
# News that an instance does not confirm is sent to it again.
RETRY_S = 1.0
MAX_SENDS = 30


def ranked_instances(key: str, instances: Sequence[str]) -> list[str]:
    """Return the instances in a request's rendezvous order, first owner first.

    The order is the same at all instances with the same list.
    """
    return sorted(
        instances,
        key=lambda name: (rendezvous_weight(key, name), name),
        reverse=True,
    )


class QuarantineSync:
    """Counts crashes as an owner, and passes on sightings and verdicts.

    ``on_decided`` is called once this instance takes a request for a crashing
    one: others that it does not know yet have to be told.  ``persist`` is
    called with verdicts of this instance that others which start later must
    know, and ``persist_if_absent`` with those that it learned from one that
    may be behind.
    """

    __slots__ = (
        "on_decided",
        "persist",
        "persist_if_absent",
        "_shared",
        "_evidence",
        "_known_names",
        "_unchecked_keys",
    )

    def __init__(self, shared: SharedState) -> None:
        self.on_decided: Callable[[], None] = lambda: None
        self.persist: Callable[[Verdict], None] = lambda verdict: None
        self.persist_if_absent = self.persist
        self._shared = shared
        self._evidence = CrashEvidence()
        self._known_names: set[str] = set()
        self._unchecked_keys: set[str] = set()
        shared.crash_guard.on_sightings = self.report
        shared.crash_guard.on_cleared = self.clear
        shared.crash_guard.on_news = self.apply_reply
        shared.crash_guard.rank_for = self.rank_for

    def report(self, sightings: list[CrashSighting]) -> None:
        """Pass on sightings of this instance to the owners."""
        by_owner: dict[str, list[CrashSighting]] = {}
        for sighting in sightings:
            self._log_sighting(sighting)
            for owner in self._owners(sighting.key):
                by_owner.setdefault(owner, []).append(sighting)
        own = by_owner.pop(self._own_name, [])
        self._judge(own)
        for owner, owned in by_owner.items():
            for start in range(0, len(owned), MAX_NEWS):
                batch = owned[start : start + MAX_NEWS]
                self._send(owner, QuarantineNews(sightings=batch))

    def tell_new_instances(self) -> None:
        """Send this instance's new verdicts to those listed since last time.

        An older one may have been lifted meanwhile.  The owner calls this
        whenever the instances have been listed.
        """
        shared = self._shared
        names = set(shared.peers.names())
        new_names = names - self._known_names
        self._known_names = names
        own = [
            verdict
            for verdict in shared.crash_guard.quarantine.latest(
                shared.loop.time()
            )
            if verdict.decided_by == self._own_name and verdict.age_s < TOLD_S
        ]
        if own:
            for name in new_names:
                self._send(name, QuarantineNews(verdicts=own))

    def handle(self, news: QuarantineNews) -> QuarantineNews:
        """Apply another instance's news; return the verdicts to reply."""
        self._judge(news.sightings)
        keys = {sighting.key for sighting in news.sightings}
        replies = [self._known(key) for key in keys]
        for verdict in news.verdicts:
            replies.append(self._check(verdict))
        verdicts = [x for x in replies if x is not None]
        guard = self._shared.crash_guard
        now = self._shared.loop.time()
        verdicts += [
            Verdict(key, Level.CLEAR, decided_by=self._own_name)
            for key in news.checks
            if guard.completions.is_recent(key, now)
        ]
        if news.asks:
            verdicts += guard.quarantine.latest(now)
        return QuarantineNews(verdicts=verdicts)

    def learn(self, verdict: Verdict) -> None:
        """Apply a verdict that another instance holds."""
        guard = self._shared.crash_guard
        now = self._shared.loop.time()
        is_clear = guard.completions.is_recent(verdict.key, now)
        if is_clear or not guard.quarantine.apply_held(verdict, now):
            return
        self.log_change(verdict, "asked")
        if verdict.level is Level.CRASHING and self._is_owner(verdict.key):
            self.persist_if_absent(verdict)

    def apply(self, verdict: Verdict, source: str) -> None:
        """Apply a verdict; log a change of the request's level.

        Each owner writes what changes a quarantine into the store, as the
        instance that has decided it may end before it can.
        """
        shared = self._shared
        now = shared.loop.time()
        quarantine = shared.crash_guard.quarantine
        known = quarantine.find(verdict.key, now)
        was_quarantined = known is not None and known.is_quarantined
        if verdict.level is Level.CLEAR:
            self._evidence.clear(verdict.key)
        if not quarantine.apply(verdict, now):
            return
        self.log_change(verdict, source)
        concerns_store = was_quarantined or verdict.level is Level.CRASHING
        if concerns_store and self._is_owner(verdict.key):
            self.persist(verdict)

    def apply_reply(self, body: bytes) -> None:
        """Apply the verdicts with which another instance responded."""
        try:
            news = decode_message(body, QuarantineNews)
        except msgspec.MsgspecError:
            return
        quarantine = self._shared.crash_guard.quarantine
        for verdict in news.verdicts:
            is_objection = verdict.level is Level.CLEAR
            if is_objection and verdict.key in quarantine.entry_by_key:
                self.clear(verdict.key)
            else:
                self._check(verdict)

    def clear(self, key: str) -> None:
        """Lift a request everywhere, as a leaf has completed it."""
        entry = self._shared.crash_guard.quarantine.entry_by_key.get(key)
        was_quarantined = entry is not None and entry.is_quarantined
        verdict = Verdict(key, Level.CLEAR, decided_by=self._own_name)
        self.apply(verdict, "completed")
        self._broadcast(verdict)
        if was_quarantined:
            self.persist(verdict)

    def on_listed(self, verdict: Verdict) -> None:
        """Handle a change that came with a list of the store.

        The instance that decided may have ended before it was told that a
        leaf has completed the request.
        """
        self.log_change(verdict, "store")
        completions = self._shared.crash_guard.completions
        if verdict.level is Level.CLEAR:
            self._evidence.clear(verdict.key)
        elif completions.is_recent(verdict.key, self._shared.loop.time()):
            self.clear(verdict.key)
        else:
            self._unchecked_keys.add(verdict.key)

    def check_listed(self) -> None:
        """Ask some instances whether leafs have completed listed requests.

        The owner calls this whenever the store or the instances have been
        listed.
        """
        names = self._shared.peers.names()
        if not names or not self._unchecked_keys:
            return
        keys = list(self._unchecked_keys)
        self._unchecked_keys.clear()
        count = min(CHECK_COUNT, len(names))
        for name in self._shared.random.sample(names, count):
            for start in range(0, len(keys), MAX_NEWS):
                batch = keys[start : start + MAX_NEWS]
                self._send(name, QuarantineNews(checks=batch))

    def find_unlisted(self, listed: Collection[str]) -> list[Verdict]:
        """Return the verdicts that the store's list should have but has not.

        Only those that this instance owns, and that are older than the list
        may be.
        """
        now = self._shared.loop.time()
        entry_by_key = self._shared.crash_guard.quarantine.entry_by_key
        return [
            entry.to_verdict(now)
            for key, entry in entry_by_key.items()
            if entry.is_quarantined
            and key not in listed
            and now - entry.changed_at > STALE_LIST_S
            and self._is_owner(key)
        ]

    def log_change(self, verdict: Verdict, source: str) -> None:
        """Log that the level of a request has changed here."""
        shared = self._shared
        level = verdict.level.name.lower()
        shared.metrics.count("quarantine", level)
        shared.log.record(
            QUARANTINE_CHANGED,
            key=verdict.key,
            quarantine=level,
            route=verdict.route,
            target=verdict.target,
            crashes=verdict.crashes,
            attempts=verdict.attempts,
            decided_by=verdict.decided_by,
            age_s=round(verdict.age_s, 3),
            why=source,
        )

    def rank_for(self, key: str) -> int:
        """Return this instance's rank for a request, 0 first."""
        ranked = self._ranked(key)
        if self._own_name not in ranked:
            return len(ranked)
        return ranked.index(self._own_name)

    @property
    def _own_name(self) -> str:
        return self._shared.settings.name

    def _owners(self, key: str) -> list[str]:
        """Return the first owners, and more where some do not respond."""
        now = self._shared.loop.time()
        owners: list[str] = []
        reachable = 0
        for name in self._ranked(key):
            peer = self._shared.peers.find(name)
            owners.append(name)
            reachable += peer is None or peer.is_usable(now)
            if reachable == OWNER_COUNT:
                break
        return owners

    def _is_owner(self, key: str) -> bool:
        return self._own_name in self._owners(key)

    def _ranked(self, key: str) -> list[str]:
        instances = self._shared.instances or [self._own_name]
        return ranked_instances(key, instances)

    def _judge(self, sightings: list[CrashSighting]) -> None:
        """Count sightings as an owner; pass on a verdict that they change."""
        shared = self._shared
        now = shared.loop.time()
        quarantine = shared.crash_guard.quarantine
        for sighting in sightings:
            if shared.crash_guard.completions.is_recent(sighting.key, now):
                continue
            evidence = self._evidence.add(sighting, now)
            known = quarantine.find(sighting.key, now)
            if evidence.level > (
                Level.CLEAR if known is None else known.level
            ):
                self._decide(sighting.key, evidence)

    def _decide(self, key: str, evidence: Evidence) -> None:
        verdict = Verdict(
            key,
            evidence.level,
            evidence.crashes,
            len(evidence.attempt_by_id),
            evidence.route,
            evidence.target,
            self._own_name,
        )
        self.apply(verdict, "crashes")
        self._broadcast(verdict)
        if evidence.level is Level.CRASHING:
            self.persist(verdict)
            self.on_decided()

    def _known(self, key: str) -> Verdict | None:
        """Return what this instance knows of a request, None if nothing."""
        shared = self._shared
        now = shared.loop.time()
        if shared.crash_guard.completions.is_recent(key, now):
            return Verdict(key, Level.CLEAR, decided_by=self._own_name)
        entry = shared.crash_guard.quarantine.find(key, now)
        return None if entry is None else entry.to_verdict(now)

    def _check(self, verdict: Verdict) -> Verdict | None:
        """Apply another's verdict, or return that the request is clear."""
        shared = self._shared
        is_clear = shared.crash_guard.completions.is_recent(
            verdict.key, shared.loop.time()
        )
        if is_clear and verdict.level is not Level.CLEAR:
            return Verdict(verdict.key, Level.CLEAR, decided_by=self._own_name)
        self.apply(verdict, "peer")
        return None

    def _broadcast(self, verdict: Verdict) -> None:
        for name in self._shared.peers.names():
            self._send(name, QuarantineNews(verdicts=[verdict]))

    def _send(self, name: str, news: QuarantineNews, sends: int = 1) -> None:
        """Send news to an instance until it confirms them."""
        shared = self._shared
        peer = shared.peers.find(name)
        if peer is None or not self._is_current(news):
            return

        def on_end(response: LeafResponse | None, reason: str) -> None:
            if response is not None:
                self.apply_reply(response.body)
            elif sends < MAX_SENDS:
                shared.loop.call_later(
                    RETRY_S, self._send, name, news, sends + 1
                )

        body = encode_message(news)
        PeerSend(shared, peer, lambda: body, on_end).start_at_once(NEWS_PATH)

    def _is_current(self, news: QuarantineNews) -> bool:
        """Return whether no verdict in the news has been lifted since."""
        known = self._shared.crash_guard.quarantine.entry_by_key
        return all(
            verdict.level is Level.CLEAR or verdict.key in known
            for verdict in news.verdicts
        )

    def _log_sighting(self, sighting: CrashSighting) -> None:
        self._shared.log.record(
            CRASH_SIGHTED,
            request_id=sighting.request_id,
            key=sighting.key,
            leaf=sighting.leaf,
            route=sighting.route,
            alone=sighting.alone,
        )
