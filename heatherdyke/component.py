"""Interfaces between the components of an instance."""

from typing import Protocol

from heatherdyke.config.model import ConfigDocument
from heatherdyke.membership.messages import Member
from heatherdyke.net.http_routes import Applications


class Component(Protocol):
    """A component of an instance, with HTTP routes and a background task."""

    def add_routes(self, apps: Applications) -> None:
        """Add the component's HTTP routes to the applications."""

    async def run(self) -> None:
        """Run the background task until cancelled."""

    async def stop(self) -> None:
        """Finish the work in progress before the instance exits."""


class ConfigView(Protocol):
    """The configuration as searches and runs read it."""

    @property
    def document(self) -> ConfigDocument:
        """Return the active configuration."""

    @property
    def is_up_to_date(self) -> bool:
        """Return whether the configuration is recent enough for new work.

        It is False after the process was paused, until the platform and
        the peers have been queried for missed changes.
        """

    def zone_is_out(self, zone: str) -> bool:
        """Return whether operators have taken the zone out of service."""


class MembershipView(Protocol):
    """The membership as searches and runs read it."""

    def members(self) -> list[Member]:
        """Return the members that are not known to be gone."""

    def home_of(self, leaf_id: str, zone: str) -> Member | None:
        """Return the leaf's home instance, None if no member is known."""

    def is_home(self, leaf_id: str, zone: str) -> bool:
        """Return whether this instance is the leaf's home instance."""

    def slots_allowed(
        self, leaf_id: str, slots: int, zone: str, work_s: float
    ) -> int:
        """Return how many of the leaf's slots this instance may use.

        ``work_s`` is the maximum duration of the work to be sent.
        """

    def refresh_roster(self, zone: str, address: str) -> None:
        """Fetch the zone's latest roster from the member at ``address``."""

    def record_connection_refused(self, member: Member) -> None:
        """Record a refused TCP connection, which proves the member exited."""
