"""Keeps slowly changing platform state up to date on a zone's instances.

One instance of the zone, its reader, polls the platform; the others wait for
changes with long polls to the reader, so that the number of platform calls
does not grow with the number of instances.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

import msgspec
from blacksheep import Request
from blacksheep import Response

from heatherdyke.config.model import SNAPSHOTS_PREFIX
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.leaves.leaf_dispatcher import LeafDispatcher
from heatherdyke.messages import IndexSnapshots
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.search.latest_snapshots import LatestSnapshots

READ_INTERVAL_S = 1.0
# Limits the average traffic of reading the platform's instance list, whose
# rows have about LIST_ROW_BYTES each: a longer list is read less often.
LIST_BYTES_PER_S = 5_000
LIST_ROW_BYTES = 150
LONG_POLL_S = 10.0
RETRY_DELAY_S = 1.0
READER_TIMEOUT_MARGIN_S = 2.0
NO_CONTENT = 204


@dataclass(frozen=True, slots=True)
class ListedLeaf:
    """A leaf in the platform's instance list, and whether it is leaving."""

    leaf: str
    incarnation: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class PlatformState:
    """Snapshots by index, and the listed leaves that are or were leaving.

    ``reader`` is the incarnation of the instance that read the state from the
    platform: the zone's reader, or another one that cannot reach it.
    ``version`` increases with each change that this incarnation has read; it
    is comparable only between states with the same ``reader``.
    """

    reader: str = ""
    version: int = 0
    snapshot_by_index: dict[str, int] = field(default_factory=dict)
    leaves: list[ListedLeaf] = field(default_factory=list)


class PlatformStateSync:
    """Keeps snapshots and leaving leaves up to date on one instance.

    ``find_reader`` returns the address of the zone's reader, or None if
    this instance is the reader or knows no member.
    """

    __slots__ = (
        "_platform",
        "_snapshots",
        "_dispatcher",
        "_fetcher",
        "_incarnation",
        "_find_reader",
        "_state",
        "_next_change",
        "_seen_leaving",
        "_next_list_at",
    )

    def __init__(
        self,
        platform: ObjectClient,
        snapshots: LatestSnapshots,
        dispatcher: LeafDispatcher,
        fetcher: PeerFetcher,
        incarnation: str,
        find_reader: Callable[[], str | None],
    ) -> None:
        self._platform = platform
        self._snapshots = snapshots
        self._dispatcher = dispatcher
        self._fetcher = fetcher
        self._incarnation = incarnation
        self._find_reader = find_reader
        self._state = PlatformState()
        self._next_change = asyncio.Event()
        self._seen_leaving: set[str] = set()
        self._next_list_at = 0.0

    def add_routes(self, apps: Applications) -> None:
        """Serve the state to the zone's other instances."""
        add_route(apps.internal, "GET", "/peer/platform-state", self._serve)

    async def run(self) -> None:
        """Keep the state up to date until cancelled."""
        while True:
            try:
                reader = self._find_reader()
                if reader is None:
                    await self._read_platform()
                    await asyncio.sleep(READ_INTERVAL_S)
                else:
                    await self._long_poll_reader(reader)
            except PlatformUnavailable:
                await asyncio.sleep(RETRY_DELAY_S)
            except TransportError:
                await self._read_without_reader()

    async def stop(self) -> None:
        """Do nothing: there is no work to finish."""

    async def _read_without_reader(self) -> None:
        """Read the platform directly if the reader cannot be reached."""
        await asyncio.sleep(RETRY_DELAY_S)
        try:
            await self._read_platform()
        except PlatformUnavailable:
            return

    async def _read_platform(self) -> None:
        snapshot_by_index = {}
        for stored in await self._platform.list(SNAPSHOTS_PREFIX):
            try:
                snapshots = convert_value(stored, IndexSnapshots)
            except msgspec.ValidationError:
                continue
            index = stored.key.removeprefix(SNAPSHOTS_PREFIX)
            snapshot_by_index[index] = snapshots.current
        leaves = self._state.leaves
        now = asyncio.get_running_loop().time()
        if now >= self._next_list_at:
            leaves = await self._read_leaving_leaves(now)
        self._apply_if_changed(snapshot_by_index, leaves)

    async def _read_leaving_leaves(self, now: float) -> list[ListedLeaf]:
        """Return the listed leaves that are or were leaving.

        Thus a leaf that was leaving and is listed as live again is reported
        as not leaving.
        """
        rows = [
            row
            for row in await self._platform.instances()
            if row.kind is InstanceKind.BACKEND
        ]
        seconds = len(rows) * LIST_ROW_BYTES / LIST_BYTES_PER_S
        self._next_list_at = now + max(READ_INTERVAL_S, seconds)
        leaves = []
        for row in rows:
            leaving = row.state is InstanceState.LEAVING
            if leaving or row.name in self._seen_leaving:
                self._seen_leaving.add(row.name)
                leaves.append(ListedLeaf(row.name, row.incarnation, leaving))
        return leaves

    def _apply_if_changed(
        self, snapshot_by_index: dict[str, int], leaves: list[ListedLeaf]
    ) -> None:
        current = self._state
        unchanged = (
            current.reader == self._incarnation
            and current.snapshot_by_index == snapshot_by_index
            and current.leaves == leaves
        )
        if not unchanged:
            version = current.version + 1
            self._apply(
                PlatformState(
                    self._incarnation, version, snapshot_by_index, leaves
                )
            )

    async def _long_poll_reader(self, reader: str) -> None:
        target = (
            f"/peer/platform-state?reader={self._state.reader}"
            f"&after={self._state.version}"
        )
        timeout_s = LONG_POLL_S + READER_TIMEOUT_MARGIN_S
        state = await self._fetcher.fetch_optional(
            reader, target, PlatformState, timeout_s
        )
        if state is not None:
            self._apply(state)

    def _apply(self, state: PlatformState) -> None:
        self._state = state
        for index, snapshot in state.snapshot_by_index.items():
            self._snapshots.update(index, snapshot)
        for leaf in state.leaves:
            self._dispatcher.handle_leaf_state(
                leaf.leaf, leaf.leaving, leaf.incarnation
            )
        changed, self._next_change = self._next_change, asyncio.Event()
        changed.set()

    async def _serve(self, request: Request) -> Response:
        reader = request.query.get("reader", [""])[0]
        after = request.query.get("after", ["0"])[0]
        current = (self._state.reader, str(self._state.version))
        if (reader, after) == current:
            try:
                async with asyncio.timeout(LONG_POLL_S):
                    await self._next_change.wait()
            except TimeoutError:
                return Response(NO_CONTENT)
        return json_response(self._state)
