"""What instances of a zone share of the platform's slowly changing state.

The zone's reader asks the platform; the others wait at the reader for a
change, so that the platform's calls do not grow with the instances.
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
from heatherdyke.leaves.home import Home
from heatherdyke.messages import IndexSnapshots
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.peers.fetch import PeerFetcher
from heatherdyke.search.snapshot_book import SnapshotBook

READ_INTERVAL_S = 1.0
LIST_BYTES_PER_S = 5_000
LIST_ROW_BYTES = 150
WAIT_S = 10.0
RETRY_S = 1.0
READER_TIMEOUT_S = 2.0
NO_CONTENT = 204


@dataclass(frozen=True, slots=True)
class LeavingLeaf:
    """A run of a leaf that the platform's list shows."""

    leaf: str
    incarnation: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class PlatformState:
    """Snapshots by index, and the leaves that leave or came back.

    ``version`` counts the changes that the reader saw; it has a meaning
    only together with ``reader``, the reader's incarnation.
    """

    reader: str = ""
    version: int = 0
    snapshot_by_index: dict[str, int] = field(default_factory=dict)
    leaves: list[LeavingLeaf] = field(default_factory=list)


class ObjectView:
    """Keeps snapshots and leaving leaves current on one instance.

    ``find_reader`` returns the address of the zone's reader, or None if
    this instance is it.
    """

    __slots__ = (
        "_platform",
        "_snapshots",
        "_home",
        "_fetcher",
        "_incarnation",
        "_find_reader",
        "_state",
        "_changed",
        "_was_leaving",
        "_list_due_at",
    )

    def __init__(
        self,
        platform: ObjectClient,
        snapshots: SnapshotBook,
        home: Home,
        fetcher: PeerFetcher,
        incarnation: str,
        find_reader: Callable[[], str | None],
    ) -> None:
        self._platform = platform
        self._snapshots = snapshots
        self._home = home
        self._fetcher = fetcher
        self._incarnation = incarnation
        self._find_reader = find_reader
        self._state = PlatformState()
        self._changed = asyncio.Event()
        self._was_leaving: set[str] = set()
        self._list_due_at = 0.0

    def add_routes(self, apps: Applications) -> None:
        """Serve the state to the zone's other instances."""
        add_route(apps.internal, "GET", "/peer/platform-state", self._serve)

    async def run(self) -> None:
        """Keep the state current until cancelled."""
        while True:
            try:
                reader = self._find_reader()
                if reader is None:
                    await self._read_platform()
                    await asyncio.sleep(READ_INTERVAL_S)
                else:
                    await self._wait_at(reader)
            except PlatformUnavailable:
                await asyncio.sleep(RETRY_S)
            except TransportError:
                await self._read_after_loss()

    async def stop(self) -> None:
        """Nothing runs that must finish."""

    async def _read_after_loss(self) -> None:
        """Read the platform while the reader cannot be reached."""
        await asyncio.sleep(RETRY_S)
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
        if now >= self._list_due_at:
            leaves = await self._read_list(now)
        self._publish(snapshot_by_index, leaves)

    async def _read_list(self, now: float) -> list[LeavingLeaf]:
        """Return the leaves that leave, and those that left before."""
        rows = [
            row
            for row in await self._platform.instances()
            if row.kind is InstanceKind.BACKEND
        ]
        seconds = len(rows) * LIST_ROW_BYTES / LIST_BYTES_PER_S
        self._list_due_at = now + max(READ_INTERVAL_S, seconds)
        leaves = []
        for row in rows:
            leaving = row.state is InstanceState.LEAVING
            if leaving or row.name in self._was_leaving:
                self._was_leaving.add(row.name)
                leaves.append(LeavingLeaf(row.name, row.incarnation, leaving))
        return leaves

    def _publish(
        self, snapshot_by_index: dict[str, int], leaves: list[LeavingLeaf]
    ) -> None:
        known = self._state
        same = (
            known.reader == self._incarnation
            and known.snapshot_by_index == snapshot_by_index
            and known.leaves == leaves
        )
        if not same:
            version = known.version + 1
            self._apply(
                PlatformState(
                    self._incarnation, version, snapshot_by_index, leaves
                )
            )

    async def _wait_at(self, reader: str) -> None:
        target = (
            f"/peer/platform-state?reader={self._state.reader}"
            f"&after={self._state.version}"
        )
        timeout_s = WAIT_S + READER_TIMEOUT_S
        state = await self._fetcher.fetch_optional(
            reader, target, PlatformState, timeout_s
        )
        if state is not None:
            self._apply(state)

    def _apply(self, state: PlatformState) -> None:
        self._state = state
        for index, snapshot in state.snapshot_by_index.items():
            self._snapshots.learn(index, snapshot)
        for leaf in state.leaves:
            self._home.hear_leaf_state(
                leaf.leaf, leaf.leaving, leaf.incarnation
            )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, request: Request) -> Response:
        reader = request.query.get("reader", [""])[0]
        after = request.query.get("after", ["0"])[0]
        known = (self._state.reader, str(self._state.version))
        if (reader, after) == known:
            try:
                async with asyncio.timeout(WAIT_S):
                    await self._changed.wait()
            except TimeoutError:
                return Response(NO_CONTENT)
        return json_response(self._state)
