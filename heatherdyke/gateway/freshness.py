"""What is known of the store's latest changes, and what has been applied.

Most reads allow the store to answer from old data, so that they do not show
what is missing.  An up-to-date read shows up to which revision a kind has not
changed; it is enough for all instances that hear of it (pure).
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from heatherdyke.gateway.connection_share import rendezvous_weight
from heatherdyke.gateway.settings import Bounds
from heatherdyke.platform.store_pages import Change

# Shares of the time within which a change must be in force.  Their sum leaves
# time to read the changes.
CHECK_SHARE = 0.22
MAX_AGE_SHARE = 0.2
ASK_SHARE = 0.1
ANSWER_SHARE = 0.06
ARRIVAL_SHARE = 0.2
# Below the history that the store keeps.
MAX_UNKNOWN_S = 10.0
# How many instances ask the same one.
FAN_OUT = 16
ORDER_KEY = "store-readers"


@dataclass(frozen=True, slots=True)
class UnchangedRange:
    """No object of the kind changed after one revision, up to another."""

    after: int
    until: int

    def joined(self, later: "UnchangedRange") -> "UnchangedRange":
        """Return what both say, or the later one if there is a gap."""
        if later.after > self.until:
            return later
        return UnchangedRange(self.after, max(self.until, later.until))


class KindFreshness:
    """The freshness of one kind of objects on this instance.

    All changes up to the revision ``applied`` have been applied.  Up-to-date
    reads, here or at other instances, have shown ``unchanged`` as of the time
    ``known_at``; the state was complete at the time ``complete_at``.
    """

    __slots__ = ("applied", "unchanged", "known_at", "complete_at")

    def __init__(self) -> None:
        self.unchanged: UnchangedRange | None
        self.restart()

    @property
    def is_behind(self) -> bool:
        """Return whether there are changes that have not been applied."""
        return (
            self.unchanged is not None and self.applied < self.unchanged.after
        )

    @property
    def read_from(self) -> int:
        """Return the revision after which changes are not known."""
        known = self.unchanged.until if self.unchanged is not None else 0
        return max(known, self.applied)

    def restart(self) -> None:
        """Forget everything: the store gives out its revisions again."""
        self.applied = 0
        self.unchanged = None
        self.known_at = float("-inf")
        self.complete_at = float("-inf")

    def apply_stale(self, revision: int) -> None:
        """Record that changes up to this one were applied."""
        self.applied = max(self.applied, revision)
        self._update()

    def apply_current(self, revision: int, as_of: float) -> None:
        """Record that everything was applied as an up-to-date read had it.

        A read that began after a higher revision was known shows that the
        store was restored from a copy.
        """
        known = self.unchanged
        if known is None or (revision < known.until and as_of > self.known_at):
            self.applied = revision
            self.unchanged = UnchangedRange(revision, revision)
            self.known_at = as_of
        self.applied = max(self.applied, revision)
        self.complete_at = max(self.complete_at, as_of)
        self._update()

    def learn(self, unchanged: UnchangedRange, as_of: float) -> None:
        """Take what an up-to-date read has shown as of this time."""
        if self.unchanged is None:
            self.unchanged = unchanged
        elif unchanged.until > self.unchanged.until:
            self.unchanged = self.unchanged.joined(unchanged)
        self.known_at = max(self.known_at, as_of)
        self._update()

    def _update(self) -> None:
        if self.unchanged is not None and not self.is_behind:
            self.applied = max(self.applied, self.unchanged.until)
            self.complete_at = max(self.complete_at, self.known_at)


class StoreFreshness:
    """The freshness of the kinds whose changes have to be in force in time."""

    __slots__ = ("by_kind",)

    def __init__(self, kinds: Iterable[str]) -> None:
        self.by_kind = {kind: KindFreshness() for kind in kinds}

    @property
    def known_at(self) -> float:
        """Return as of when the latest changes of all kinds are known."""
        return min(kind.known_at for kind in self.by_kind.values())

    @property
    def complete_at(self) -> float:
        """Return when the state of all kinds was complete for certain."""
        return min(kind.complete_at for kind in self.by_kind.values())

    def restart(self) -> None:
        """Forget everything: the store gives out its revisions again."""
        for kind in self.by_kind.values():
            kind.restart()

    def forget_ages(self) -> None:
        """Take everything for old: the clock stood while others changed."""
        for kind in self.by_kind.values():
            kind.known_at = float("-inf")
            kind.complete_at = float("-inf")

    def behind(self) -> list[str]:
        """Return the kinds with changes that have not been applied."""
        return [name for name, kind in self.by_kind.items() if kind.is_behind]


@dataclass(frozen=True, slots=True)
class CheckTiming:
    """The timing of checks, in seconds.

    An instance checks every ``interval_s``.  The answer of another one may be
    ``max_age_s`` old and may take ``ask_timeout_s``; that one answers with
    what it knows after ``answer_timeout_s``.  Changes that reads which may be
    old have not shown ``arrival_s`` after a check are read up to date.
    """

    interval_s: float
    max_age_s: float
    ask_timeout_s: float
    answer_timeout_s: float
    arrival_s: float

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "CheckTiming":
        """Return the timing that keeps the shortest of the bounds."""
        due_s = min(bounds.config_s, bounds.drain_s)
        return cls(
            CHECK_SHARE * due_s,
            MAX_AGE_SHARE * due_s,
            ASK_SHARE * due_s,
            ANSWER_SHARE * due_s,
            ARRIVAL_SHARE * due_s,
        )


def last_change(changes: Collection[Change], since: int) -> int | None:
    """Return the revision of the last change after ``since``, which if none.

    None means that the changes do not tell: a deletion may state the revision
    of the change before it.
    """
    revisions = [change.object.revision for change in changes]
    has_own = len(set(revisions)) == len(revisions)
    if not has_own or any(revision <= since for revision in revisions):
        return None
    return max(revisions, default=since)


def next_revision(
    changed: int, stated: int, applied: int, unknown_s: float
) -> int:
    """Return where to go on after a response that may be old.

    It has the changes up to ``changed``, but may state a revision newer than
    its data.  So the next one starts no later than what was ``applied``,
    unless the latest changes have been unknown for so long that the store's
    history of them may end.
    """
    if unknown_s > MAX_UNKNOWN_S:
        return max(changed, stated)
    return max(changed, min(stated, applied))


def instance_to_ask(
    own_name: str,
    instances: Iterable[str],
    failed_until: Mapping[str, float],
    now: float,
) -> str | None:
    """Return the instance that knows of the latest changes first.

    None means that this one has to read the store.  An instance asks one
    before it in an order that all compute alike, so none waits for itself.
    """
    usable = {name for name in instances if now >= failed_until.get(name, 0.0)}
    order = sorted(
        usable | {own_name},
        key=lambda name: (rendezvous_weight(ORDER_KEY, name), name),
    )
    position = order.index(own_name)
    return order[(position - 1) // FAN_OUT] if position else None
