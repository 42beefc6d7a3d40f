"""The groups of a search that other instances query."""

from collections.abc import Callable

from heatherdyke.gateway.grouping import Group
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.part_collector import PartCollector
from heatherdyke.gateway.peer_call import PeerCall
from heatherdyke.gateway.peer_messages import GroupResult
from heatherdyke.gateway.peer_requests import group_request
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState

# The remainder of an open group is requested this much after the response is
# due, so that a search that is answered on time sends no further request.
REMAINDER_DELAY_S = 0.002


class GroupCalls:
    """Requests groups from other instances; collects their parts.

    ``on_declined`` is called with a group that no leaf has got, and
    ``on_failed`` once any group has failed, after its shards are lost or
    declined.  ``missing`` describes the shards without a part.
    """

    __slots__ = (
        "sent",
        "extra_sends",
        "missing",
        "_shared",
        "_request",
        "_route",
        "_collector",
        "_on_declined",
        "_on_failed",
        "_running",
        "_open",
        "_may_have_run",
    )

    def __init__(
        self,
        shared: SharedState,
        request: ClientRequest,
        route: Route,
        collector: PartCollector,
        on_declined: Callable[[Group], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.sent = 0
        self.extra_sends = 0
        self.missing: list[str] = []
        self._shared = shared
        self._request = request
        self._route = route
        self._collector = collector
        self._on_declined = on_declined
        self._on_failed = on_failed
        self._running: set[PeerCall] = set()
        self._open: dict[PeerCall, GroupResult] = {}
        self._may_have_run = False

    @property
    def have_reached_leafs(self) -> bool:
        """Return whether a leaf may have run the search, or may yet."""
        return self._may_have_run or any(
            call.has_begun for call in self._running
        )

    def start(self, group: Group) -> bool:
        """Request a group; return False without an instance to ask."""
        progress = self._collector.progress
        message = group_request(
            self._request,
            self._route,
            group.shards,
            self._shared.config.version,
        )
        call = PeerCall(
            self._shared,
            group,
            message,
            progress.answer_at,
            progress.deadline_at,
            self._on_end,
        )
        if not call.start():
            return False
        self._running.add(call)
        return True

    def close(self) -> None:
        """Take the parts of open groups as final; ask for no remainder."""
        for result in self._open.values():
            self._count(result)
        self._open.clear()

    def abandon(self) -> None:
        """Close the connections, on which the others abandon the groups."""
        for call in self._running:
            call.abandon()
        self._running.clear()

    def describe_missing(self) -> list[str]:
        """Return the shards without a part, or how many of them are where."""
        running = [
            f"{len(call.group.shards)} at {call.group.zone}"
            for call in self._running
        ]
        return self.missing + running

    def _on_end(self, call: PeerCall, result: GroupResult | None) -> None:
        self._running.discard(call)
        if self._collector.closed:
            return
        if result is not None:
            self._add_result(call, result)
        else:
            self._fail(call)
        self._collector.decide()

    def _fail(self, call: PeerCall) -> None:
        if call.may_have_run:
            self._may_have_run = True
            self._collector.add_losses(call.group.shards)
        else:
            self._on_declined(call.group)
        self._on_failed()

    def _add_result(self, call: PeerCall, result: GroupResult) -> None:
        self._may_have_run = True
        self._collector.add_merged(result.parts, result.records)
        if result.is_open:
            self._open[call] = result
            loop = self._shared.loop
            at = max(loop.time(), self._collector.progress.answer_at)
            loop.call_at(at + REMAINDER_DELAY_S, self._request_remainder, call)
            return
        self._count(result)
        self._collector.add_losses(call.group.shards)

    def _request_remainder(self, call: PeerCall) -> None:
        """Request the remainder of a group if the search is still open."""
        if self._open.pop(call, None) is None:
            return
        if not self._collector.closed:
            self._running.add(call)
            call.request_remainder()

    def _count(self, result: GroupResult) -> None:
        self.sent += result.sent
        self.extra_sends += result.extra_sends
        self.missing += result.missing
