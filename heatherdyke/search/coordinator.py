"""Takes a caller's search and answers it from the homes' parts."""

from heatherdyke.component import ConfigView
from heatherdyke.errors import SnapshotUnavailable
from heatherdyke.messages import SearchAnswer
from heatherdyke.messages import SearchRequest
from heatherdyke.search.context import SearchContext
from heatherdyke.search.plan import SearchPlan
from heatherdyke.search.plan import plan_search
from heatherdyke.search.scatter_gather import ScatterGather
from heatherdyke.search.search_admission import SearchAdmission

SNAPSHOT_RETRY_S = 1.0


class SearchCoordinator:
    """Answers searches; one SearchRun works on each."""

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
        """Answer a team's search; raises RequestError with its reason."""
        started_at = self._context.clock.now()
        plan = plan_search(self._context.index.current(), team, request)
        snapshot = self._pin_snapshot(plan)
        section = self._config.document.section_by_team[team]
        needed = len(plan.weight_by_shard)
        with self._admission.admit(
            team,
            section.spending,
            plan.urgency.priority,
            needed,
            plan.deadline_s,
        ) as admitted:
            run = ScatterGather(
                self._context, plan, request, request_id, snapshot
            )
            try:
                coverage = await run.work(started_at + plan.deadline_s)
                result = coverage.result()
                admitted.completed = needed - len(result.missing)
            finally:
                admitted.asked = run.cost
        return SearchAnswer(
            request_id=request_id,
            snapshot=run.snapshot,
            coverage=result,
            coverage_share=result.share,
            items=run.items(),
            total=coverage.total(),
            cost=run.cost,
            elapsed_ms=(self._context.clock.now() - started_at) * 1000,
            instance=self._context.settings.name,
        )

    def _pin_snapshot(self, plan: SearchPlan) -> int:
        snapshot = self._context.snapshots.current(plan.index)
        if snapshot is None:
            raise SnapshotUnavailable(
                f"no snapshot of index {plan.index!r} is known",
                "come back when the platform has been reached",
                retry_after_s=SNAPSHOT_RETRY_S,
            )
        return snapshot
