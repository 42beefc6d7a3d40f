"""Usage counters by team, which only increase (pure)."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """Counters of one team.

    ``leaf_searches`` and ``runs`` are charged; ``hedges``, the additional
    leaf searches, and ``refused`` searches are not.
    """

    searches: int = 0
    leaf_searches: int = 0
    hedges: int = 0
    runs: int = 0
    refused: int = 0

    def plus(self, other: "TeamUsage") -> "TeamUsage":
        """Return the field-wise sum."""
        return TeamUsage(
            *(
                getattr(self, f.name) + getattr(other, f.name)
                for f in fields(self)
            )
        )


@dataclass(frozen=True, slots=True)
class UsagePage:
    """The counters of one incarnation since its start."""

    instance: str
    incarnation: str
    usage_by_team: dict[str, TeamUsage] = field(default_factory=dict)


class UsageCounters:
    """The usage counters of this incarnation.

    They are absolute values, so that storing a page twice is harmless.
    """

    __slots__ = ("instance", "incarnation", "_usage_by_team")

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._usage_by_team: dict[str, TeamUsage] = {}

    def count(self, team: str, **amounts: int) -> None:
        """Add amounts, given by the names of the fields of TeamUsage."""
        previous = self._usage_by_team.get(team, TeamUsage())
        self._usage_by_team[team] = previous.plus(TeamUsage(**amounts))

    def page(self) -> UsagePage:
        """Return a page with the current counters."""
        return UsagePage(
            self.instance, self.incarnation, dict(self._usage_by_team)
        )


def total_by_team(pages: Iterable[UsagePage]) -> dict[str, TeamUsage]:
    """Return each team's usage, counting each incarnation once.

    A live incarnation has two pages: its own and the older copy in the
    platform.  The larger one is the newer one.
    """
    page_by_incarnation: dict[tuple[str, str], UsagePage] = {}
    for page in pages:
        identity = (page.instance, page.incarnation)
        newest = page_by_incarnation.get(identity)
        if newest is None or _size(page) > _size(newest):
            page_by_incarnation[identity] = page
    total: dict[str, TeamUsage] = {}
    for page in page_by_incarnation.values():
        for team, usage in page.usage_by_team.items():
            total[team] = total.get(team, TeamUsage()).plus(usage)
    return total


def _size(page: UsagePage) -> int:
    return sum(
        getattr(usage, f.name)
        for usage in page.usage_by_team.values()
        for f in fields(usage)
    )
