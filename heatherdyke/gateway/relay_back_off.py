"""Spaces the relays of requests that no other instance could serve (pure)."""

from collections.abc import Iterable

BACK_OFF_S = 0.5


class RelayBackOff:
    """Remembers the services whose leafs no other instance could reach.

    If all leafs of a service are down, asking others only delays a refusal.
    """

    __slots__ = ("_until_by_service",)

    def __init__(self) -> None:
        self._until_by_service: dict[str, float] = {}

    def record_failure(self, services: Iterable[str], now: float) -> None:
        """Record that no other instance could reach a leaf of each."""
        for service in services:
            self._until_by_service[service] = now + BACK_OFF_S

    def allows(self, service: str, now: float) -> bool:
        """Return whether another instance may be asked."""
        return now >= self._until_by_service.get(service, 0.0)
