"""A validation fault of a section."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Fault:
    """One validation fault: its path, the value, the rule and the remedy.

    ``path`` is dotted, such as ``leaves.a1.slots``, and empty if the fault
    concerns the whole section.
    """

    team: str
    path: str
    value: Any
    rule: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault on one line."""
        place = f"{self.team}: {self.path}" if self.path else self.team
        return f"{place} = {self.value!r} ({self.rule}): {self.remedy}"


def join_path(path: str, name: str | int) -> str:
    """Return the path of the member ``name`` of ``path``."""
    return f"{path}.{name}" if path else str(name)
