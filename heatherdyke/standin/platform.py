"""A stand-in for the platform: objects, watches and the instance list.

It serves the API that heatherdyke.objects.client calls.  ``POST
/admin/faults`` sets faults and ``GET /admin/record`` returns counters.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from time import monotonic
from typing import Any

import msgspec

from heatherdyke.codec import decode
from heatherdyke.messages import ListedInstance
from heatherdyke.messages import PlatformObject
from heatherdyke.registry import Registry
from heatherdyke.standin.http_server import HttpReply
from heatherdyke.standin.http_server import HttpRequest
from heatherdyke.standin.http_server import HttpServer

MAX_VALUE_BYTES = 1024 * 1024
ROW_TTL_S = 3.0


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """The platform's faults; each change replaces all of them.

    ``lose_replies`` is the number of next writes that are applied but whose
    connection is closed without a reply.  The instance list is as it was
    ``list_lag_s`` ago; ``extra_rows`` are added to it although no such
    instance runs, and ``hidden_names`` are omitted from it.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0
    list_lag_s: float = 0.0
    extra_rows: list[ListedInstance] = field(default_factory=list)
    hidden_names: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class PlatformRecord:
    """Counters of calls; ``failed`` counts those refused in an outage."""

    calls_by_kind: dict[str, int]
    conflicts: int
    failed: int
    lost_replies: int
    watches_waiting: int
    watches_waiting_max: int


class InstanceList:
    """The registered instances, readable as of an earlier time."""

    __slots__ = ("_history_by_name",)

    def __init__(self) -> None:
        self._history_by_name: dict[
            str, list[tuple[float, ListedInstance]]
        ] = defaultdict(list)

    def announce(self, row: ListedInstance, now: float) -> None:
        """Add an instance or renew its row."""
        self._history_by_name[row.name].append((now, row))

    def rows(self, now: float, lag_s: float) -> list[ListedInstance]:
        """Return the rows that had not expired ``lag_s`` ago."""
        rows = []
        for name, history in self._history_by_name.items():
            visible = [item for item in history if item[0] <= now - lag_s]
            if not visible:
                continue
            renewed_at, row = visible[-1]
            self._history_by_name[name] = history[len(visible) - 1 :]
            if now - lag_s - renewed_at <= ROW_TTL_S:
                rows.append(row)
        return rows


_Operation = Callable[
    ["PlatformStandin", HttpRequest], Awaitable[HttpReply | None]
]
_operations: Registry[_Operation] = Registry("platform call")


class PlatformStandin:
    """The platform's object API in one process, in memory."""

    def __init__(self, listen: str = "127.0.0.1:0") -> None:
        self.faults = PlatformFaults()
        self._server = HttpServer(listen, self._handle)
        self._object_by_key: dict[str, PlatformObject] = {}
        self._last_version_by_key: dict[str, int] = {}
        self._watches_by_key: dict[str, set[asyncio.Future]] = defaultdict(set)
        self._list = InstanceList()
        self._calls_by_kind: dict[str, int] = defaultdict(int)
        self._conflicts = 0
        self._failed = 0
        self._lost_replies = 0
        self._replies_to_lose = 0
        self._watches_waiting = 0
        self._watches_waiting_max = 0

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._server.address

    async def start(self) -> None:
        """Serve until ``stop``."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all connections; the objects in memory are lost."""
        await self._server.stop()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults; an outage fails the open watches."""
        self.faults = faults
        self._replies_to_lose = faults.lose_replies
        if faults.outage:
            for key in list(self._watches_by_key):
                self._notify_watches(key)

    def record(self) -> PlatformRecord:
        """Return the counters since the start."""
        return PlatformRecord(
            calls_by_kind=dict(self._calls_by_kind),
            conflicts=self._conflicts,
            failed=self._failed,
            lost_replies=self._lost_replies,
            watches_waiting=self._watches_waiting,
            watches_waiting_max=self._watches_waiting_max,
        )

    async def _handle(self, request: HttpRequest) -> HttpReply | None:
        call = f"{request.method} {request.path}"
        if call not in _operations.by_name:
            return HttpReply(404)
        operation = _operations.find(call)
        if request.is_admin:
            return await operation(self, request)
        self._calls_by_kind[call] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            self._failed += 1
            return HttpReply(503)
        return await operation(self, request)

    @_operations.register("GET /objects")
    async def _get(self, request: HttpRequest) -> HttpReply:
        stored = self._object_by_key.get(request.query_by_name["key"])
        if stored is None:
            return HttpReply(404)
        return HttpReply.from_message(stored)

    @_operations.register("PUT /objects")
    async def _put(self, request: HttpRequest) -> HttpReply | None:
        if len(request.body) > MAX_VALUE_BYTES:
            return HttpReply(413)
        key = request.query_by_name["key"]
        conflict = self._find_conflict(request)
        if conflict is not None:
            return conflict
        version = self._store(key, msgspec.json.decode(request.body))
        reply = PlatformObject(key, version, None)
        return self._reply_to_write(HttpReply.from_message(reply))

    @_operations.register("DELETE /objects")
    async def _delete(self, request: HttpRequest) -> HttpReply | None:
        conflict = self._find_conflict(request)
        if conflict is not None:
            return conflict
        self._object_by_key.pop(request.query_by_name["key"], None)
        return self._reply_to_write(HttpReply(200, b"{}"))

    @_operations.register("GET /list")
    async def _list_objects(self, request: HttpRequest) -> HttpReply:
        prefix = request.query_by_name.get("prefix", "")
        matching = [
            self._object_by_key[key]
            for key in sorted(self._object_by_key)
            if key.startswith(prefix)
        ]
        return HttpReply.from_message(matching)

    @_operations.register("GET /watch")
    async def _watch(self, request: HttpRequest) -> HttpReply:
        key = request.query_by_name["key"]
        after_version = int(request.query_by_name["after_version"])
        deadline = monotonic() + float(request.query_by_name["wait_s"])
        self._watches_waiting += 1
        self._watches_waiting_max = max(
            self._watches_waiting, self._watches_waiting_max
        )
        try:
            return await self._wait_for_newer(key, after_version, deadline)
        finally:
            self._watches_waiting -= 1

    @_operations.register("GET /instances")
    async def _instances(self, request: HttpRequest) -> HttpReply:
        rows = self._list.rows(monotonic(), self.faults.list_lag_s)
        shown = [r for r in rows if r.name not in self.faults.hidden_names]
        return HttpReply.from_message(shown + self.faults.extra_rows)

    @_operations.register("POST /instances")
    async def _announce(self, request: HttpRequest) -> HttpReply:
        self._list.announce(decode(request.body, ListedInstance), monotonic())
        return HttpReply(200, b"{}")

    @_operations.register("POST /admin/faults")
    async def _set_faults(self, request: HttpRequest) -> HttpReply:
        try:
            self.set_faults(decode(request.body, PlatformFaults))
        except msgspec.DecodeError as error:
            return HttpReply.from_message(str(error), 400)
        return HttpReply(200, b"{}")

    @_operations.register("GET /admin/record")
    async def _show_record(self, request: HttpRequest) -> HttpReply:
        return HttpReply.from_message(self.record())

    def _find_conflict(self, request: HttpRequest) -> HttpReply | None:
        key = request.query_by_name["key"]
        stored = self._object_by_key.get(key, PlatformObject(key, 0, None))
        if stored.version == int(request.query_by_name["if_version"]):
            return None
        self._conflicts += 1
        return HttpReply.from_message(stored, 409)

    def _store(self, key: str, value: Any) -> int:
        version = self._last_version_by_key.get(key, 0) + 1
        self._last_version_by_key[key] = version
        self._object_by_key[key] = PlatformObject(key, version, value)
        self._notify_watches(key)
        return version

    def _reply_to_write(self, reply: HttpReply) -> HttpReply | None:
        if self._replies_to_lose <= 0:
            return reply
        self._replies_to_lose -= 1
        self._lost_replies += 1
        return None

    async def _wait_for_newer(
        self, key: str, after_version: int, deadline: float
    ) -> HttpReply:
        while not self.faults.outage:
            stored = self._object_by_key.get(key)
            if stored is not None and stored.version > after_version:
                return HttpReply.from_message(stored)
            remaining_s = deadline - monotonic()
            if remaining_s <= 0:
                return HttpReply(204)
            await self._wait_for_change(key, remaining_s)
        self._failed += 1
        return HttpReply(503)

    async def _wait_for_change(self, key: str, timeout_s: float) -> None:
        changed = asyncio.get_running_loop().create_future()
        self._watches_by_key[key].add(changed)
        await asyncio.wait((changed,), timeout=timeout_s)
        self._watches_by_key[key].discard(changed)

    def _notify_watches(self, key: str) -> None:
        for changed in self._watches_by_key.pop(key, ()):
            if not changed.done():
                changed.set_result(None)
