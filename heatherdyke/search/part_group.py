"""Parts of a search that are sent to one home, and its responses."""

from dataclasses import dataclass

from heatherdyke.errors import TransportError
from heatherdyke.messages import PeerParts


@dataclass(slots=True, eq=False)
class PartGroup:
    """Parts sent to one home.

    ``pending_leaf_by_shard`` holds those that are not answered yet.
    """

    address: str | None
    pending_leaf_by_shard: dict[str, str]
    restart_number: int
    hedge_at: float
    hedged: bool = False
    has_response: bool = False


@dataclass(frozen=True, slots=True)
class GroupResponse:
    """A message from a group's home, or the error of its connection."""

    group: PartGroup
    parts: PeerParts | None
    error: TransportError | None = None
