"""Objects, history and copies of the stand-in store."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class StoredItem:
    """An object with the revisions of its last change and creation."""

    name: str
    spec: Any
    revision: int
    created: int

    def to_wire(self) -> dict[str, Any]:
        """Return the object in the store's JSON format."""
        return {
            "meta": {
                "name": self.name,
                "revision": self.revision,
                "created-revision": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": None,
        }


@dataclass(slots=True)
class HistoryEntry:
    """A change in the history that watches read.

    ``before`` is the object that it replaced, None for a new one.
    """

    revision: int
    kind: str
    item: StoredItem
    deleted: bool
    before: StoredItem | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The objects and the history of a store at a revision."""

    revision: int
    items_by_kind: dict[str, dict[str, StoredItem]]
    history: list[HistoryEntry]
