"""Queries the zone's members for the levels of their leaves after a start."""

import asyncio
from collections.abc import Callable

from blacksheep import Request
from blacksheep import Response

from heatherdyke.clock import Clock
from heatherdyke.errors import TransportError
from heatherdyke.leaves.leaf_dispatcher import LeafDispatcher
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.usage.leaf_level_cache import LeafLevel
from heatherdyke.usage.leaf_level_cache import LeafLevelCache

QUERY_ROUNDS = 4
ROUND_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 0.5


class LeafLevelSync:
    """Fills the level cache of an instance that has just started.

    ``find_peers`` returns the addresses of the zone's other members.
    """

    __slots__ = ("_dispatcher", "_cache", "_find_peers", "_fetcher", "_clock")

    def __init__(
        self,
        dispatcher: LeafDispatcher,
        cache: LeafLevelCache,
        find_peers: Callable[[], list[str]],
        fetcher: PeerFetcher,
        clock: Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._cache = cache
        self._find_peers = find_peers
        self._fetcher = fetcher
        self._clock = clock

    def add_routes(self, apps: Applications) -> None:
        """Serve the levels of the leaves whose home is this instance."""
        add_route(apps.internal, "GET", "/peer/leaf-levels", self._serve)

    async def run(self) -> None:
        """Query the peers QUERY_ROUNDS times after the start.

        Meanwhile this instance becomes the home instance of its first leaves.
        """
        for _ in range(QUERY_ROUNDS):
            peers = self._find_peers()
            await asyncio.gather(*(self._query(peer) for peer in peers))
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def stop(self) -> None:
        """Do nothing: there is no work to finish."""

    async def _query(self, address: str) -> None:
        try:
            levels = await self._fetcher.fetch(
                address, "/peer/leaf-levels", list[LeafLevel], QUERY_TIMEOUT_S
            )
        except TransportError:
            return
        for level in levels:
            self._cache.record(level, self._clock.now())

    async def _serve(self, request: Request) -> Response:
        return json_response(self._dispatcher.levels())
