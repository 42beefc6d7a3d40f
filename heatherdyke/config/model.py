"""The types of the configuration document and of a team's section.

A section is stored as YAML in version control and as JSON in the platform.
The document consists of all teams' sections, keyed by team.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec


class RunOnceMode(Enum):
    """How a service guarantees that a request runs at most once.

    RECORDED stores a record and the result in the platform, so that both
    survive the instance.  TICKET binds the request to one incarnation of
    one instance and makes no platform call.
    """

    NONE = "none"
    RECORDED = "recorded"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class LeafConfig:
    """The address of one leaf and the capacity of its backend server.

    ``address`` is ``host:port`` with an IP address.  ``slots`` limits the
    concurrent searches and ``connections`` the open connections.  After a
    cold start ``cold_slots`` limits the concurrent searches until
    ``cold_searches`` searches have completed.
    """

    address: str
    zone: str
    slots: int
    connections: int
    cold_slots: int = 1
    cold_searches: int = 50


@dataclass(frozen=True, slots=True)
class ShardConfig:
    """One shard: the leaves that hold its replicas, and its weight."""

    leaves: list[str]
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A searchable service; its shards share the snapshots of one index."""

    index: str
    shards: dict[str, ShardConfig]
    run_once: RunOnceMode = RunOnceMode.NONE
    run_deadline_ms: int = 30000


@dataclass(frozen=True, slots=True)
class UrgencyConfig:
    """An urgency class; a lower ``priority`` number is served first."""

    priority: int
    deadline_ms: int = 1000
    wanted_coverage: float = 1.0


@dataclass(frozen=True, slots=True)
class SpendingConfig:
    """A token bucket that limits leaf searches: its rate and its size."""

    leaf_searches_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class SectionConfig:
    """The configuration that one team owns.

    ``key_hashes`` are the hexadecimal SHA-256 digests of the keys that the
    team's callers send.  ``readers`` are other teams that may search the
    team's services.
    """

    team: str
    services: dict[str, ServiceConfig] = field(default_factory=dict)
    leaves: dict[str, LeafConfig] = field(default_factory=dict)
    urgency: dict[str, UrgencyConfig] = field(default_factory=dict)
    spending: SpendingConfig | None = None
    key_hashes: list[str] = field(default_factory=list)
    readers: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SectionPointer:
    """A reference in the head to the accepted edit of a section.

    ``version`` is the head version that the edit created, so that the
    versions of all sections are totally ordered.  ``object_key`` is the key
    of an immutable platform object, empty if the edit removed the section.
    ``edit`` is the nonce of the edit, by which an editor whose reply was
    lost finds out whether its edit was accepted.
    """

    version: int
    object_key: str
    edit: str
    editor: str = ""

    @property
    def removed(self) -> bool:
        """Tell whether the section was removed."""
        return not self.object_key


@dataclass(frozen=True, slots=True)
class StoredSection:
    """The immutable platform object that one edit writes.

    ``base_edit`` and ``base_version`` identify the edit that this one is
    based on, which must be the section's newest for this one to be accepted.
    ``written_at`` is wall time in seconds, used by garbage collection.
    """

    team: str
    edit: str
    editor: str
    base_edit: str
    written_at: float
    section: msgspec.Raw
    base_version: int = 0


@dataclass(frozen=True, slots=True)
class ConfigHead:
    """The single object whose conditional update commits an edit.

    ``version`` increases by one with each accepted edit of any section.
    """

    version: int = 0
    section_by_team: dict[str, SectionPointer] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """All accepted sections as of one head version."""

    version: int = 0
    section_by_team: dict[str, SectionConfig] = field(default_factory=dict)

    @property
    def leaf_by_id(self) -> dict[str, LeafConfig]:
        """Return the leaves of all sections by leaf id."""
        return {
            leaf_id: leaf
            for section in self.section_by_team.values()
            for leaf_id, leaf in section.leaves.items()
        }


HEAD_KEY = "config/head"
SECTION_PREFIX = "config/section/"
ZONES_KEY = "zones"
SNAPSHOTS_PREFIX = "snapshots/"
ROSTER_PREFIX = "roster/"
TICKET_PREFIX = "ticket/"
USAGE_PREFIX = "usage/"
RESULT_PREFIX = "result/"


def section_key(team: str, edit: str) -> str:
    """Return the key of the object that an edit of a section writes."""
    return f"{SECTION_PREFIX}{team}/{edit}"
