"""Serves one request through another instance that can reach the leafs."""

from collections.abc import Callable

import msgspec

from heatherdyke.gateway.events import REQUEST_RELAYED
from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.gateway.messages import LeafResponse
from heatherdyke.gateway.peer_messages import FORWARD_PATH
from heatherdyke.gateway.peer_messages import ForwardResult
from heatherdyke.gateway.peer_messages import decode_message
from heatherdyke.gateway.peer_messages import encode_message
from heatherdyke.gateway.peer_requests import forward_request
from heatherdyke.gateway.peer_send import MAX_RELAY_PEERS
from heatherdyke.gateway.peer_send import PeerSend
from heatherdyke.gateway.prior_attempts import PriorAttempts
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.timing import GROUP_RETURN_S

# A request that a peer may have sent to a leaf, and that has no response.
STATUS_MAY_HAVE_RUN = 502


class PeerForward:
    """One request that peers are asked to forward, one after the other.

    ``on_end`` is called with the response to the client, or with None if no
    peer has acted on the request and none ever will.  If a leaf has
    rejected the request, the peer's first send is taken from this instance's
    retry budget, or from the peer's if this one's is empty.
    """

    __slots__ = (
        "may_have_run",
        "_shared",
        "_exchange",
        "_deadline_at",
        "_message",
        "_is_extra",
        "_charged_at",
        "_objective_s",
        "_peers",
        "_send",
        "_on_end",
    )

    def __init__(
        self,
        shared: SharedState,
        exchange: Exchange,
        route: Route,
        service: str,
        deadline_at: float,
        prior: PriorAttempts,
        on_end: Callable[[ClientResponse | None], None],
    ) -> None:
        self.may_have_run = False
        self._shared = shared
        self._exchange = exchange
        self._deadline_at = deadline_at
        self._message = forward_request(
            exchange.request, route, service, shared.config.version, prior
        )
        self._is_extra = bool(prior.rejected_by)
        self._charged_at: float | None = None
        self._objective_s = route.objective_s
        self._peers: list[Leaf] = []
        self._send: PeerSend | None = None
        self._on_end = on_end

    def start(self) -> bool:
        """Ask the best peer; return False if there is none."""
        self._charge()
        if self._ask_next():
            return True
        self._give_back()
        return False

    def _charge(self) -> None:
        """Take the peer's first send from the budget if it is a retry."""
        if not self._is_extra:
            return
        message = self._message
        now = self._shared.loop.time()
        if self._shared.budget.try_acquire(message.service, now):
            message.charged = True
            self._charged_at = now

    def _give_back(self) -> None:
        if self._charged_at is not None:
            self._shared.budget.give_back(
                self._message.service, self._charged_at
            )

    def _ask_next(self) -> bool:
        """Ask the best peer of the others; return False without one."""
        latency = self._shared.latencies.of(
            self._message.route, "forward", self._objective_s
        )
        peer = self._shared.peers.choose_relay(latency.median_s, self._peers)
        if peer is None:
            return False
        self._peers.append(peer)
        self._send = PeerSend(
            self._shared, peer, self._encode, self._on_response
        )
        self._send.start(FORWARD_PATH, self._objective_s)
        return True

    def abandon(self) -> None:
        """Close the connection, on which the peer cancels the request."""
        self.may_have_run = self._send.may_have_run
        self._send.abandon()

    def _encode(self) -> bytes:
        """Return the message with a time limit that counts from now."""
        now = self._shared.loop.time()
        remaining_s = self._deadline_at - now - GROUP_RETURN_S
        self._message.limit_s = max(0.0, remaining_s)
        return encode_message(self._message)

    def _on_response(self, response: LeafResponse | None, reason: str) -> None:
        self.may_have_run = self._send.may_have_run
        result = None if response is None else self._decode(response)
        if result is not None:
            self._record_time()
            answer = ClientResponse(result.status, result.headers, result.body)
            self._end(answer, reason)
        elif self.may_have_run:
            self._end(ClientResponse(STATUS_MAY_HAVE_RUN), reason)
        elif len(self._peers) >= MAX_RELAY_PEERS or not self._ask_next():
            self._give_back()
            self._end(None, reason)

    def _decode(self, response: LeafResponse) -> ForwardResult | None:
        try:
            return decode_message(response.body, ForwardResult)
        except msgspec.MsgspecError:
            return None

    def _record_time(self) -> None:
        now = self._shared.loop.time()
        latency_s = now - self._send.sent_at
        latency = self._shared.latencies.of(
            self._message.route, "forward", self._objective_s
        )
        latency.add(latency_s)
        self._peers[-1].record_response(now, latency_s, latency.median_s)

    def _end(self, answer: ClientResponse | None, reason: str) -> None:
        shared = self._shared
        request = self._exchange.request
        elapsed_s = shared.loop.time() - request.arrived_at
        shared.metrics.count("requests_passed_on", self._label(answer))
        shared.log.record(
            REQUEST_RELAYED,
            request_id=request.id_text,
            route=self._message.route,
            peers=[peer.leaf_id for peer in self._peers],
            status=answer.status if answer is not None else None,
            why=reason,
            rejected_by=self._message.rejected_by,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )
        self._on_end(answer)

    def _label(self, answer: ClientResponse | None) -> str:
        if answer is None:
            return "declined"
        return "rejected_before" if self._is_extra else "unsent_before"
