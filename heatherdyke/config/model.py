"""The types of the configuration document and of a team's section.

A section is YAML in version control and JSON in the platform.  The document
is the set of all teams' sections, keyed by team.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec


class RunOnceMode(Enum):
    """How a service takes requests that run at most once.

    RECORDED keeps a record and the result in the platform, so that both
    outlive the instance; TICKET binds the request to one incarnation of
    one instance and needs no platform call.
    """

    NONE = "none"
    RECORDED = "recorded"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class LeafConfig:
    """One leaf: where it is and what its backend server bears.

    ``address`` is ``host:port`` with an IP number; ``slots`` bounds the
    searches at work at once, ``connections`` the open connections, and
    ``cold_slots`` the searches at once after a cold start, until
    ``cold_searches`` have been done.
    """

    address: str
    zone: str
    slots: int
    connections: int
    cold_slots: int = 1
    cold_searches: int = 50


@dataclass(frozen=True, slots=True)
class ShardConfig:
    """One shard: the leaves that hold replicas of it, and its weight."""

    leaves: list[str]
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A searchable service; one index's snapshot covers its shards."""

    index: str
    shards: dict[str, ShardConfig]
    run_once: RunOnceMode = RunOnceMode.NONE
    run_deadline_ms: int = 30000


@dataclass(frozen=True, slots=True)
class UrgencyConfig:
    """A class of urgency; a lower ``priority`` number goes first."""

    priority: int
    deadline_ms: int = 1000
    wanted_coverage: float = 1.0


@dataclass(frozen=True, slots=True)
class SpendingConfig:
    """Limit of leaf work: searches a second, and how many may be saved."""

    leaf_searches_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class SectionConfig:
    """What one team owns.

    ``key_hashes`` are SHA-256 digests in hexadecimal of the keys that the
    team's callers send; ``readers`` names other teams that may search.
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
    """Where the accepted text of a section lies, in the head object.

    ``version`` is the head version that the edit made, so that versions of
    all sections are in one order.  ``object_key`` names an immutable platform
    object and is empty if the edit removed the section; ``edit`` is the nonce
    of the edit, by which a lost reply is resolved.
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

    ``base_edit`` and ``base_version`` name the edit that this one was made
    upon; it is the section's newest when this one is accepted.
    ``written_at`` is wall time in seconds, for garbage collection.
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
    """The one object whose conditional update accepts an edit.

    ``version`` grows by one with each accepted edit of any section.
    """

    version: int = 0
    section_by_team: dict[str, SectionPointer] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ConfigDocument:
    """An accepted document: all sections as of one head version."""

    version: int = 0
    section_by_team: dict[str, SectionConfig] = field(default_factory=dict)

    @property
    def leaf_by_id(self) -> dict[str, LeafConfig]:
        """Return every section's leaves by leaf id."""
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
