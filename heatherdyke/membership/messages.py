"""Typed messages of membership: members, rosters and heartbeats."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Member:
    """One run of an instance; ``address`` is ``host:port``.

    ``incarnation`` differs for each start of the process.
    """

    name: str
    zone: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Generation:
    """The members that a roster had under an earlier generation."""

    number: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Roster:
    """The platform object that says who may be home in one zone.

    ``generation`` grows by one with each change of ``members``.  ``history``
    keeps the earlier generations under which some member may still act.
    """

    zone: str
    generation: int = 0
    members: tuple[Member, ...] = ()
    history: tuple[Generation, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionedRoster:
    """A roster with the platform's version of its object."""

    version: int
    roster: Roster


@dataclass(frozen=True, slots=True)
class GoneProof:
    """States that an incarnation has ended for good.

    ``drained`` tells that its searches at leaves had ended before.
    """

    incarnation: str
    drained: bool = False


class LifecycleState(Enum):
    """What an instance says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What a sender knows of a zone whose leaves concern it.

    ``confirmed_age_s`` is how long ago, at the time of sending, the zone was
    known to be at ``generation``; None if never.
    """

    zone: str
    generation: int
    confirmed_age_s: float | None = None
    settled_by_incarnation: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one instance tells another over UDP.

    ``echo`` is the ``sequence`` of the heartbeat that this one answers, or 0
    if it asks for an answer.
    """

    sender: Member
    state: LifecycleState
    sequence: int
    echo: int = 0
    views: tuple[ZoneView, ...] = ()
    config_version: int = 0
    zones_version: int = 0
    roster_version_by_zone: dict[str, int] = field(default_factory=dict)
    gone: tuple[GoneProof, ...] = ()
    suspects: tuple[str, ...] = ()
    clock: str = ""
