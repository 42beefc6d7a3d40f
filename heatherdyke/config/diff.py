"""Computes the difference between two versions of a section."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from heatherdyke.config.fault import join_path
from heatherdyke.config.model import SectionConfig


class ChangeKind(Enum):
    """The kind of a change."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Change:
    """One value that differs; ``path`` is dotted as in Fault."""

    path: str
    kind: ChangeKind
    before: Any = None
    after: Any = None

    def __str__(self) -> str:
        """Return the change on one line, as a diff shows it."""
        if self.kind is ChangeKind.ADDED:
            return f"+ {self.path} = {self.after!r}"
        if self.kind is ChangeKind.REMOVED:
            return f"- {self.path} = {self.before!r}"
        return f"~ {self.path} = {self.before!r} -> {self.after!r}"


def diff_sections(
    before: SectionConfig | None, after: SectionConfig | None
) -> list[Change]:
    """Return the changed values, sorted by path.

    None stands for an absent section.
    """
    old = {} if before is None else msgspec.to_builtins(before)
    new = {} if after is None else msgspec.to_builtins(after)
    return _diff(old, new, "")


def _diff(before: Any, after: Any, path: str) -> list[Change]:
    if before == after:
        return []
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [Change(path, ChangeKind.CHANGED, before, after)]
    changes = []
    for name in sorted(before.keys() | after.keys()):
        member_path = join_path(path, name)
        if name not in before:
            changes.append(
                Change(member_path, ChangeKind.ADDED, None, after[name])
            )
        elif name not in after:
            changes.append(
                Change(member_path, ChangeKind.REMOVED, before[name], None)
            )
        else:
            changes += _diff(before[name], after[name], member_path)
    return changes
