"""Asks the zone's members how warm their leaves are, after a start."""

import asyncio
from collections.abc import Callable

from blacksheep import Request
from blacksheep import Response

from heatherdyke.clock import Clock
from heatherdyke.errors import TransportError
from heatherdyke.leaves.home import Home
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.peers.fetch import PeerFetcher
from heatherdyke.usage.level_book import LeafLevel
from heatherdyke.usage.level_book import LevelBook

ROUNDS = 4
ROUND_S = 1.0
TIMEOUT_S = 0.5


class LevelSync:
    """Fills the book of levels of an instance that has just started.

    ``find_peers`` returns the addresses of the zone's other members.
    """

    __slots__ = ("_home", "_book", "_find_peers", "_fetcher", "_clock")

    def __init__(
        self,
        home: Home,
        book: LevelBook,
        find_peers: Callable[[], list[str]],
        fetcher: PeerFetcher,
        clock: Clock,
    ) -> None:
        self._home = home
        self._book = book
        self._find_peers = find_peers
        self._fetcher = fetcher
        self._clock = clock

    def add_routes(self, apps: Applications) -> None:
        """Serve the levels of this home's leaves."""
        add_route(apps.internal, "GET", "/peer/leaf-levels", self._serve)

    async def run(self) -> None:
        """Ask in a few rounds, in which the first homes move here."""
        for _ in range(ROUNDS):
            peers = self._find_peers()
            await asyncio.gather(*(self._ask(peer) for peer in peers))
            await asyncio.sleep(ROUND_S)

    async def stop(self) -> None:
        """Nothing runs that must finish."""

    async def _ask(self, address: str) -> None:
        try:
            levels = await self._fetcher.fetch(
                address, "/peer/leaf-levels", list[LeafLevel], TIMEOUT_S
            )
        except TransportError:
            return
        for level in levels:
            self._book.learn(level, self._clock.now())

    async def _serve(self, request: Request) -> Response:
        return json_response(self._home.levels())
