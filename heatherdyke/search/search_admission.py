"""Admits a team's searches at an entry, by load and by spending limit."""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from heatherdyke.clock import Clock
from heatherdyke.config.model import SpendingConfig
from heatherdyke.errors import Overloaded
from heatherdyke.errors import SpendingLimitReached
from heatherdyke.search.admission import AdmissionController
from heatherdyke.usage.book import UsageCounters
from heatherdyke.usage.spending import Spending


@dataclass(slots=True)
class AdmittedSearch:
    """What an admitted search did, filled in by the entry."""

    asked: int = 0
    completed: int = 0
    answered: bool = False


class SearchAdmission:
    """Asks spending and load before each search and settles after it."""

    def __init__(
        self,
        admission: AdmissionController,
        spending: Spending,
        usage: UsageCounters,
        count_instances: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._admission = admission
        self._spending = spending
        self._usage = usage
        self._count_instances = count_instances
        self._clock = clock

    @contextmanager
    def admit(
        self,
        team: str,
        limit: SpendingConfig | None,
        priority: int,
        needed: int,
        remaining_s: float,
    ) -> Iterator[AdmittedSearch]:
        """Let a search run in the context.

        Raises SpendingLimitReached or Overloaded, before anything is sent.
        """
        now = self._clock.now()
        instances = self._count_instances()
        wait_s = self._spending.take(team, limit, needed, instances, now)
        if wait_s:
            self._usage.count(team, refused=1)
            raise SpendingLimitReached(
                f"team {team!r} has used what its limit of "
                f"{limit.leaf_searches_per_s:g} leaf searches a second "
                "allows",
                "come back later or raise the limit in the team's section",
                retry_after_s=wait_s,
            )
        decision = self._admission.decide(priority, needed, remaining_s, now)
        if not decision.admitted:
            self._spending.give_back(team, needed)
            self._usage.count(team, refused=1)
            raise Overloaded(
                f"the search would take {decision.expected_s:.2f} s and has "
                f"{remaining_s:.2f} s",
                "come back later, or search in a more urgent class",
                retry_after_s=decision.retry_after_s,
            )
        search = AdmittedSearch()
        try:
            yield search
        finally:
            took_s = self._clock.now() - now
            took_share = took_s / max(remaining_s, 0.001)
            self._settle(team, priority, needed, took_share, search)

    def _settle(
        self,
        team: str,
        priority: int,
        needed: int,
        took_share: float,
        search: AdmittedSearch,
    ) -> None:
        charged = min(search.asked, needed)
        self._spending.give_back(team, needed - charged)
        self._usage.count(
            team,
            searches=1,
            leaf_searches=charged,
            hedges=search.asked - charged,
        )
        self._admission.record_finished(
            priority, needed, search.completed, took_share, self._clock.now()
        )
