"""A stand-in leaf: slots, cold start, faults, and a record of arrivals.

It serves the leaf API with httptools' parser on an asyncio.Protocol (see
heatherdyke.standin_http): a web framework would cost a hundred leaf
processes much memory and processor time, and would hide the connection.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from time import monotonic
from time import time
from typing import Any
from uuid import uuid4

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.messages import ListedInstance
from heatherdyke.messages import PeerCancel
from heatherdyke.platform_client import PlatformClient
from heatherdyke.registry import Registry
from heatherdyke.standin_content import items_for
from heatherdyke.standin_content import result_for
from heatherdyke.standin_http import HttpReply
from heatherdyke.standin_http import HttpRequest
from heatherdyke.standin_http import HttpServer
from heatherdyke.standin_leaf_model import LeafFaults
from heatherdyke.standin_leaf_model import LeafHealth
from heatherdyke.standin_leaf_model import LeafIncarnationRecord
from heatherdyke.standin_leaf_model import LeafProfile
from heatherdyke.standin_leaf_model import LeafRecord
from heatherdyke.standin_slots import LeafSlots
from heatherdyke.standin_slots import Shed

ANNOUNCE_INTERVAL_S = 1.0
STATUS_BY_REFUSAL = {
    "shed": 429,
    "draining": 503,
    "deadline": 504,
    "snapshot_gone": 410,
    "shard_split": 409,
    "unknown_shard": 404,
    "cancelled": 499,
}

_Operation = Callable[
    ["LeafStandin", HttpRequest], Awaitable[HttpReply | None]
]
_operations: Registry[_Operation] = Registry("leaf call")


class LeafStandin:
    """One leaf on a backend server of its own."""

    def __init__(self, profile: LeafProfile) -> None:
        self.profile = profile
        self._server = HttpServer(
            profile.listen, self._handle, profile.connections
        )
        self._records: list[LeafIncarnationRecord] = []
        self._snapshots = list(profile.snapshots)
        self._children_by_shard: dict[str, list[str]] = {}
        self._health = "ok"
        self._drain_since: float | None = None
        self._drain_answer_s = 0.0
        self._cancelled_by_part: dict[tuple[str, str], asyncio.Future] = {}
        self._last_answer: LeafAnswer | None = None
        self._left_by_fault: Counter[str] = Counter()
        self._announcer: asyncio.Task | None = None
        self._begin_incarnation(profile.starts_cold)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._server.address

    @property
    def incarnation(self) -> str:
        """Return the identity that a restart changes."""
        return self._record.incarnation

    async def start(self) -> None:
        """Serve until ``stop``, and stand in the platform's list."""
        await self._server.start()
        if self.profile.platform:
            self._announcer = asyncio.create_task(self._announce())

    async def stop(self) -> None:
        """Close everything."""
        if self._announcer is not None:
            self._announcer.cancel()
        await self._server.stop()

    def record(self) -> LeafRecord:
        """Return what arrived, per incarnation."""
        self._copy_connection_counts()
        return LeafRecord(self.profile.leaf, list(self._records))

    def set_faults(self, faults: LeafFaults) -> None:
        """Change the behaviour as ``faults`` says."""
        self._change_profile(faults)
        self._change_state(faults)
        for name in ("cross_answers", "truncate_answers", "cut_answers"):
            self._left_by_fault[name] += getattr(faults, name)
        if faults.shed_s:
            self._slots.shed_until = monotonic() + faults.shed_s
        if faults.slow_s:
            self._slots.slow_until = monotonic() + faults.slow_s
            self._slots.slow_factor = faults.slow_factor
        if faults.go_cold:
            self._slots.go_cold()
        if faults.restart:
            self._restart()
        if faults.silent:
            self._server.silence_connections()

    def _change_profile(self, faults: LeafFaults) -> None:
        names = ("service_ms", "straggler_share", "straggler_factor")
        changes = {
            name: getattr(faults, name)
            for name in names
            if getattr(faults, name) is not None
        }
        self.profile = replace(self.profile, **changes)
        self._slots.profile = self.profile

    def _change_state(self, faults: LeafFaults) -> None:
        if faults.snapshots is not None:
            self._snapshots = faults.snapshots
        if faults.children_by_shard is not None:
            self._children_by_shard = faults.children_by_shard
        if faults.health is not None:
            self._health = faults.health
        if faults.drain_answer_s is not None:
            self._drain_answer_s = faults.drain_answer_s
        if faults.drain is not None:
            self._drain_since = monotonic() if faults.drain else None

    def _begin_incarnation(self, cold: bool) -> None:
        self._record = LeafIncarnationRecord(self.profile.leaf, uuid4().hex)
        self._records.append(self._record)
        self._slots = LeafSlots(self.profile, self._record)
        self._started_at = monotonic()
        if cold:
            self._slots.go_cold()

    def _restart(self) -> None:
        self._copy_connection_counts()
        self._server.close_connections()
        self._server.connections_max = 0
        self._server.connections_refused = 0
        self._drain_since = None
        self._begin_incarnation(cold=True)

    def _copy_connection_counts(self) -> None:
        self._record.connections_now = self._server.connections_now
        self._record.connections_max = self._server.connections_max
        self._record.connections_refused = self._server.connections_refused

    async def _handle(self, request: HttpRequest) -> HttpReply | None:
        call = f"{request.method} {request.path}"
        if call not in _operations.by_name:
            return HttpReply(404)
        await self._finish_setup(request)
        try:
            return await _operations.find(call)(self, request)
        except msgspec.DecodeError as error:
            return HttpReply.from_message(str(error), 400)

    async def _finish_setup(self, request: HttpRequest) -> None:
        if request.connection.served or request.is_admin:
            return
        ready_at = request.connection.opened_at + self.profile.setup_ms / 1000
        await asyncio.sleep(max(0.0, ready_at - monotonic()))

    @_operations.register("POST /search")
    async def _search(self, request: HttpRequest) -> HttpReply | None:
        search = decode(request.body, LeafSearch)
        self._count_search(search)
        refusal = self._find_refusal(search)
        if refusal is not None:
            return self._refuse(refusal)
        part = (search.request_id, search.shard)
        cancelled = asyncio.get_running_loop().create_future()
        self._cancelled_by_part[part] = cancelled
        try:
            answer = await self._do_search(search, cancelled)
        except Shed:
            kind = "cancelled" if cancelled.done() else "shed"
            answer = self._refusal(search, kind)
        finally:
            if self._cancelled_by_part.get(part) is cancelled:
                del self._cancelled_by_part[part]
        return self._reply(answer, request)

    @_operations.register("POST /run")
    async def _run(self, request: HttpRequest) -> HttpReply | None:
        run = decode(request.body, LeafRun)
        self._count_arrival()
        if self._drain_refuses():
            return self._refuse(self._refusal(run, "draining"))
        slots = self._slots
        slots.count_arrival()
        never = asyncio.get_running_loop().create_future()
        try:
            await slots.wait(slots.reserve(), never)
        except Shed:
            return self._refuse(self._refusal(run, "shed"))
        self._record.runs += 1
        self._record.runs_by_key[run.key] += 1
        try:
            await asyncio.sleep(self.profile.run_ms / 1000)
        finally:
            slots.give_back(done_well=True)
        return HttpReply.from_message(self._run_answer(run))

    @_operations.register("POST /cancel")
    async def _cancel(self, request: HttpRequest) -> HttpReply:
        cancel = decode(request.body, PeerCancel)
        for shard in cancel.shards:
            part = (cancel.request_id, shard)
            cancelled = self._cancelled_by_part.get(part)
            if cancelled is not None and not cancelled.done():
                cancelled.set_result(None)
        return HttpReply(200, b"{}")

    @_operations.register("GET /health")
    async def _show_health(self, request: HttpRequest) -> HttpReply:
        health = LeafHealth(self._health, self._slots.load)
        return HttpReply.from_message(health)

    @_operations.register("POST /admin/faults")
    async def _set_faults(self, request: HttpRequest) -> HttpReply:
        self.set_faults(decode(request.body, LeafFaults))
        return HttpReply(200, b"{}")

    @_operations.register("GET /admin/record")
    async def _show_record(self, request: HttpRequest) -> HttpReply:
        return HttpReply.from_message(self.record())

    async def _do_search(
        self, search: LeafSearch, cancelled: asyncio.Future
    ) -> LeafAnswer | LeafRefusal:
        arrived_at = monotonic()
        slots = self._slots
        await slots.wait(slots.reserve(), cancelled)
        done_well = False
        try:
            if not self._is_late(search, arrived_at):
                seconds = slots.draw_service_s()
                await asyncio.wait((cancelled,), timeout=seconds)
            if cancelled.done():
                self._record.cancelled += 1
                return self._refusal(search, "cancelled")
            if self._is_late(search, arrived_at):
                return self._refusal(search, "deadline")
            done_well = True
            return self._search_answer(search)
        finally:
            slots.give_back(done_well)

    def _count_search(self, search: LeafSearch) -> None:
        record = self._record
        self._count_arrival()
        record.searches += 1
        record.searches_by_snapshot[search.snapshot] += 1
        record.searches_by_instance[search.instance] += 1
        seen = record.snapshots_by_request.setdefault(search.request_id, [])
        if search.snapshot not in seen:
            seen.append(search.snapshot)

    def _count_arrival(self) -> None:
        record = self._record
        record.arrivals_by_second[int(time())] += 1
        if self._drain_since is not None:
            record.draining_arrivals += 1
            record.draining_last_s = monotonic() - self._drain_since

    def _find_refusal(self, search: LeafSearch) -> LeafRefusal | None:
        if self._drain_refuses():
            return self._refusal(search, "draining")
        if search.remaining_ms <= 0:
            return self._refusal(search, "deadline")
        if search.shard in self._children_by_shard:
            return self._refusal(search, "shard_split")
        shards = self.profile.shards
        children = sum(self._children_by_shard.values(), [])
        if shards and search.shard not in shards + children:
            return self._refusal(search, "unknown_shard")
        if search.snapshot not in self._snapshots:
            return self._refusal(search, "snapshot_gone")
        self._slots.count_arrival()
        return None

    def _drain_refuses(self) -> bool:
        if self._drain_since is None:
            return False
        return monotonic() - self._drain_since >= self._drain_answer_s

    def _is_late(self, search: LeafSearch, arrived_at: float) -> bool:
        return (monotonic() - arrived_at) * 1000 >= search.remaining_ms

    def _refusal(self, request: LeafSearch | LeafRun, kind: str):
        children = self._children_by_shard.get(request.shard, [])
        shed_s = max(0.0, self._slots.shed_until - monotonic())
        return LeafRefusal(
            request_id=request.request_id,
            shard=request.shard,
            kind=kind,
            incarnation=self.incarnation,
            retry_after_ms=1000 * shed_s if kind == "shed" else 0.0,
            snapshots=self._snapshots if kind == "snapshot_gone" else [],
            children=children if kind == "shard_split" else [],
        )

    def _refuse(self, refusal: LeafRefusal) -> HttpReply:
        self._record.refusals_by_kind[refusal.kind] += 1
        status = STATUS_BY_REFUSAL[refusal.kind]
        return HttpReply.from_message(refusal, status)

    def _search_answer(self, search: LeafSearch) -> LeafAnswer:
        items = items_for(search.shard, search.snapshot, search.query)
        return LeafAnswer(
            request_id=search.request_id,
            shard=search.shard,
            snapshot=search.snapshot,
            leaf=self.profile.leaf,
            incarnation=self.incarnation,
            items=items[: search.limit],
            total=len(items),
            draining=self._drain_since is not None,
            uptime_ms=(monotonic() - self._started_at) * 1000,
        )

    def _run_answer(self, run: LeafRun) -> LeafRunAnswer:
        return LeafRunAnswer(
            request_id=run.request_id,
            key=run.key,
            shard=run.shard,
            leaf=self.profile.leaf,
            incarnation=self.incarnation,
            result=result_for(run.shard, run.operation, run.argument),
        )

    def _reply(
        self, answer: LeafAnswer | LeafRefusal, request: HttpRequest
    ) -> HttpReply | None:
        if isinstance(answer, LeafRefusal):
            return self._refuse(answer)
        sent, self._last_answer = self._spoil(answer), answer
        if self._take_fault("cut_answers"):
            whole = HttpReply.from_message(sent).to_bytes()
            request.connection.write(whole[: len(whole) // 2])
            return None
        return HttpReply.from_message(sent)

    def _spoil(self, answer: LeafAnswer) -> LeafAnswer:
        if self._last_answer is not None and self._take_fault("cross_answers"):
            return self._last_answer
        if self._take_fault("truncate_answers"):
            half = answer.items[: len(answer.items) // 2]
            return replace(answer, items=half, truncated=True)
        return answer

    def _take_fault(self, name: str) -> bool:
        if self._left_by_fault[name] <= 0:
            return False
        self._left_by_fault[name] -= 1
        return True

    async def _announce(self) -> None:
        client = PlatformClient(self.profile.platform)
        while True:
            try:
                await client.announce(self._row())
            except PlatformUnavailable:
                pass  # the list is a hint; the next round renews the row
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _row(self) -> ListedInstance:
        leaving = self._drain_since is not None
        return ListedInstance(
            name=self.profile.leaf,
            kind=InstanceKind.BACKEND,
            zone=self.profile.zone,
            address=self.address,
            incarnation=self.incarnation,
            state=InstanceState.LEAVING if leaving else InstanceState.LIVE,
        )


def parse_profile(text: str) -> LeafProfile:
    """Return the profile that JSON text holds; raises msgspec errors."""
    return decode(text.encode(), LeafProfile)


def format_profile(profile: LeafProfile) -> str:
    """Return the profile as JSON text for a command line."""
    return encode(profile).decode()


def describe(message: Any) -> str:
    """Return a message as indented JSON, for people."""
    return msgspec.json.format(encode(message)).decode()
