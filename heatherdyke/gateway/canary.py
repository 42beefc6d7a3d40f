"""Sends a search to one leaf before all others.

A search that may crash leafs is sent to the leafs of its other shards only
once one leaf has completed it.
"""

from collections.abc import Callable

from heatherdyke.gateway.attempt import Attempt
from heatherdyke.gateway.attempt_sender import AttemptSender
from heatherdyke.gateway.messages import AttemptOutcome
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState


class Canary:
    """One attempt of a search at one leaf of one of its shards.

    ``on_end`` is called with the shard and its part, or with None if the
    leaf returned none; ``may_have_run`` tells whether it began.
    """

    __slots__ = ("may_have_run", "_shared", "_route", "_sender", "_on_end")

    def __init__(
        self,
        shared: SharedState,
        request: ClientRequest,
        route: Route,
        deadline_at: float,
        on_end: Callable[[str, LeafResponse | None], None],
    ) -> None:
        self.may_have_run = False
        self._shared = shared
        self._route = route
        self._sender = AttemptSender(
            shared,
            request,
            shared.latencies.of(route.name, "", route.objective_s),
            deadline_at,
            self._on_attempt_end,
            route.name,
        )
        self._on_end = on_end

    @property
    def has_reached_leaf(self) -> bool:
        """Return whether the leaf may have run the search."""
        return self.may_have_run or self._sender.has_reached_leafs

    def start(self, shards: tuple[str, ...]) -> bool:
        """Send to a leaf of any of the shards; return False without one."""
        shared = self._shared
        median_s = self._sender.latency.median_s
        for shard in shared.random.sample(shards, len(shards)):
            leaf = shared.selector.choose(shard, self._route, (), median_s)
            if leaf is not None:
                shared.budget.count_request(shard, shared.loop.time())
                self._sender.send(leaf, shard)
                return True
        return False

    def abandon(self) -> None:
        """Abandon the attempt now."""
        self._sender.abandon()

    def _on_attempt_end(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        self.may_have_run = not outcome.not_run
        response = outcome.response
        if response is not None and not response.is_signed_success:
            response = None
        self._on_end(attempt.service, response)
