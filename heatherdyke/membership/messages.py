"""Membership messages: members, rosters and heartbeats."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Member:
    """One run of an instance; ``address`` is ``host:port``.

    ``incarnation`` is different for each start of the process.
    """

    name: str
    zone: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Generation:
    """The members that a roster had in a previous generation."""

    number: int
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Roster:
    """The platform object that lists the possible homes of one zone.

    ``generation`` increases by one with each change of ``members``.
    ``history`` contains the previous generations of which some member may
    still have work.
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
    """Evidence that an incarnation has ended.

    ``drained`` means that its work at leaves had finished before it ended.
    """

    incarnation: str
    drained: bool = False


class LifecycleState(Enum):
    """The state that an instance reports of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ZoneView:
    """The sender's view of a zone to whose leaves it may send.

    ``confirmed_age_s`` is the time since ``generation`` was confirmed as the
    zone's latest, measured when the message is sent.  It is None without a
    confirmation within the lease.
    """

    zone: str
    generation: int
    confirmed_age_s: float | None = None
    settled_by_incarnation: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The periodic message between instances over UDP.

    ``echo`` is the ``sequence`` of the heartbeat to which this one is the
    reply, or 0 if it requests a reply.
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
