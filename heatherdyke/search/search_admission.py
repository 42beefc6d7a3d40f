"""Admits a team's searches by load and by the team's spending limit."""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from heatherdyke.clock import Clock
from heatherdyke.config.model import SpendingConfig
from heatherdyke.request_errors import Overloaded
from heatherdyke.request_errors import SpendingLimitReached
from heatherdyke.search.admission import AdmissionController
from heatherdyke.usage.counters import UsageCounters
from heatherdyke.usage.spending_limiter import SpendingLimiter


@dataclass(slots=True)
class AdmittedSearch:
    """The result of an admitted search, set by the SearchCoordinator."""

    leaf_searches_sent: int = 0
    completed: int = 0
    answered: bool = False


class SearchAdmission:
    """Checks spending and load before a search, and accounts for it after."""

    def __init__(
        self,
        admission: AdmissionController,
        spending: SpendingLimiter,
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
        fan_out: int,
        remaining_s: float,
    ) -> Iterator[AdmittedSearch]:
        """Admit the search that runs inside the context.

        Raises SpendingLimitReached or Overloaded, before anything is sent.
        """
        now = self._clock.now()
        instances = self._count_instances()
        wait_s = self._spending.take(team, limit, fan_out, instances, now)
        if wait_s:
            self._usage.count(team, refused=1)
            raise SpendingLimitReached(
                f"team {team!r} has reached its limit of "
                f"{limit.leaf_searches_per_s:g} leaf searches per second",
                "retry later or raise the limit in the team's section",
                retry_after_s=wait_s,
            )
        decision = self._admission.decide(priority, fan_out, remaining_s, now)
        if not decision.admitted:
            self._spending.refund(team, fan_out)
            self._usage.count(team, refused=1)
            raise Overloaded(
                f"the search would take {decision.expected_s:.2f} s but must "
                f"end within {remaining_s:.2f} s",
                "retry later, or use a more urgent class",
                retry_after_s=decision.retry_after_s,
            )
        search = AdmittedSearch()
        try:
            yield search
        finally:
            took_s = self._clock.now() - now
            deadline_share_used = took_s / max(remaining_s, 0.001)
            self._account_for(
                team, priority, fan_out, deadline_share_used, search
            )

    def _account_for(
        self,
        team: str,
        priority: int,
        fan_out: int,
        deadline_share_used: float,
        search: AdmittedSearch,
    ) -> None:
        charged = min(search.leaf_searches_sent, fan_out)
        self._spending.refund(team, fan_out - charged)
        self._usage.count(
            team,
            searches=1,
            leaf_searches=charged,
            hedges=search.leaf_searches_sent - charged,
        )
        self._admission.record_finished(
            priority,
            fan_out,
            search.completed,
            deadline_share_used,
            self._clock.now(),
        )
