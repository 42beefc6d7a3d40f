"""Where an instance's tasks report events."""

from typing import Any

from loguru import logger

from heatherdyke.events import EventKind


class Journal:
    """Records events of one instance under their numbers."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance

    def record(self, kind: EventKind, **fields: Any) -> None:
        """Log one occurrence of ``kind`` with its fields."""
        logger.bind(event=kind.number, instance=self.instance, **fields).log(
            kind.severity.value, kind.name
        )
