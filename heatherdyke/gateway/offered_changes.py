"""What a check of one kind has read up to date, for the kind's watcher."""

from dataclasses import dataclass

from heatherdyke.platform.store_pages import Changes


@dataclass(frozen=True, slots=True)
class OfferedChanges:
    """All changes after a revision, as they were read up to date at a time."""

    since: int
    page: Changes
    called_at: float

    @property
    def size(self) -> int:
        """Return the bytes of the objects."""
        return sum(len(change.object.spec) for change in self.page.changes)
