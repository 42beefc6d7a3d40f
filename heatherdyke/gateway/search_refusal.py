"""Refuses a search that cannot be answered, before it is sent."""

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.refusal import RefusalReason
from heatherdyke.gateway.refusal import make_refusal
from heatherdyke.gateway.refused_request import send_refusal
from heatherdyke.gateway.routing import Route
from heatherdyke.gateway.search_progress import required_shards
from heatherdyke.gateway.shared_state import SharedState

# A logged refusal describes at most this many of the shards without a leaf.
MAX_DESCRIBED_SHARDS = 4


def refuse_without_leafs(
    shared: SharedState,
    exchange: Exchange,
    route: Route,
    without_leaf: tuple[str, ...],
) -> None:
    """Refuse a search that has leafs for too few shards.

    If that is due to rate limits, the client is told to return when enough
    of the leafs accept a request again.
    """
    shard_count = len(route.shards)
    reachable = shard_count - len(without_leaf)
    needed = required_shards(shard_count, route.min_share) - reachable
    wait_s = shared.selector.rate_wait_s(without_leaf, route, needed)
    reason = RefusalReason.LEAF_RATES
    if wait_s is None:
        reason = RefusalReason.NO_LEAF
    refuse_search(shared, exchange, route, reason, without_leaf, wait_s or 0.0)


def refuse_search(
    shared: SharedState,
    exchange: Exchange,
    route: Route,
    reason: RefusalReason,
    without_leaf: tuple[str, ...] = (),
    min_after_s: float = 0.0,
) -> None:
    """Refuse a search; the client may return after ``min_after_s`` or later.

    Clients that are to move to other instances return when these get them.
    """
    now = shared.loop.time()
    shared.isolation.record_request(refused=True)
    refusal = make_refusal(
        reason,
        exchange.request.wait_s,
        shared.random,
        max(min_after_s, shared.isolation.clients_moved_in_s(now)),
    )
    described = [
        shared.selector.describe(shard)
        for shard in without_leaf[:MAX_DESCRIBED_SHARDS]
    ]
    send_refusal(
        shared,
        exchange,
        route.name,
        reason,
        refusal,
        f"{len(without_leaf)} of {len(route.shards)} shards "
        f"without a leaf, a share of {route.min_share} required; "
        f"{'; '.join(described)}",
    )
