"""What an instance is made of, and what the parts ask of one another."""

from typing import Protocol

from heatherdyke.config.model import ConfigDocument
from heatherdyke.membership.messages import Member
from heatherdyke.net.http_routes import Applications


class Component(Protocol):
    """A part of an instance with routes and a long-running task."""

    def add_routes(self, apps: Applications) -> None:
        """Add the component's HTTP routes to the applications."""

    async def run(self) -> None:
        """Work until cancelled."""

    async def stop(self) -> None:
        """Finish what runs before the instance exits."""


class ConfigView(Protocol):
    """What the search path asks of the configuration."""

    @property
    def document(self) -> ConfigDocument:
        """Return the configuration in force."""

    @property
    def is_settled(self) -> bool:
        """Tell whether new work may start on the configuration held."""

    def zone_is_out(self, zone: str) -> bool:
        """Tell whether operators have taken the zone out."""


class MembershipView(Protocol):
    """What the search path asks of the membership."""

    def members(self) -> list[Member]:
        """Return the members that are not known gone."""

    def home_of(self, leaf_id: str, zone: str) -> Member | None:
        """Return the instance that is the leaf's home."""

    def is_home(self, leaf_id: str, zone: str) -> bool:
        """Tell whether this instance is the home of the zone's leaf."""

    def slots_allowed(
        self, leaf_id: str, slots: int, zone: str, work_s: float
    ) -> int:
        """Return how many of the leaf's slots may be at work from here.

        ``work_s`` is the longest that the work to be sent may last.
        """

    def refresh(self, zone: str, address: str) -> None:
        """Ask the member at ``address`` for the zone's newest roster."""

    def note_refused(self, member: Member) -> None:
        """Take a refused TCP connection as proof that a member has ended."""
