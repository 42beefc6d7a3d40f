"""Executes a caller's search and builds the answer from the parts."""

from heatherdyke.component import ConfigView
from heatherdyke.messages import SearchAnswer
from heatherdyke.messages import SearchRequest
from heatherdyke.request_errors import SnapshotUnavailable
from heatherdyke.search.context import SearchContext
from heatherdyke.search.plan import SearchPlan
from heatherdyke.search.plan import plan_search
from heatherdyke.search.scatter_gather import ScatterGather
from heatherdyke.search.search_admission import SearchAdmission

SNAPSHOT_RETRY_S = 1.0


class SearchCoordinator:
    """Answers searches, each by a ScatterGather of its own."""

    __slots__ = ("_context", "_config", "_admission")

    def __init__(
        self,
        context: SearchContext,
        config: ConfigView,
        admission: SearchAdmission,
    ) -> None:
        self._context = context
        self._config = config
        self._admission = admission

    async def search(
        self, team: str, request: SearchRequest, request_id: str
    ) -> SearchAnswer:
        """Answer a team's search; raises RequestError with the reason."""
        started_at = self._context.clock.now()
        plan = plan_search(self._context.index.current(), team, request)
        snapshot = self._pin_snapshot(plan)
        section = self._config.document.section_by_team[team]
        fan_out = len(plan.weight_by_shard)
        with self._admission.admit(
            team,
            section.spending,
            plan.urgency.priority,
            fan_out,
            plan.deadline_s,
        ) as admitted:
            execution = ScatterGather(
                self._context, plan, request, request_id, snapshot
            )
            try:
                coverage = await execution.run(started_at + plan.deadline_s)
                result = coverage.result()
                admitted.completed = fan_out - len(result.missing)
            finally:
                admitted.leaf_searches_sent = execution.cost
        return SearchAnswer(
            request_id=request_id,
            snapshot=execution.snapshot,
            coverage=result,
            coverage_share=result.share,
            items=execution.items(),
            total=coverage.total(),
            cost=execution.cost,
            elapsed_ms=(self._context.clock.now() - started_at) * 1000,
            instance=self._context.settings.name,
        )

    def _pin_snapshot(self, plan: SearchPlan) -> int:
        snapshot = self._context.snapshots.current(plan.index)
        if snapshot is None:
            raise SnapshotUnavailable(
                f"no snapshot of index {plan.index!r} is known",
                "retry when the instance has reached the platform",
                retry_after_s=SNAPSHOT_RETRY_S,
            )
        return snapshot
