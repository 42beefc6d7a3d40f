"""A stand-in leaf with slots, cold starts, faults and counters.

It serves the leaf API on heatherdyke.standin.http_server instead of a web
framework, which would cost a hundred leaf processes much memory and CPU time
and give no access to the connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from time import monotonic
from time import time
from uuid import uuid4

import msgspec

from heatherdyke.codec import decode
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.messages import ListedInstance
from heatherdyke.messages import PeerCancel
from heatherdyke.registry import Registry
from heatherdyke.standin.announcer import announce_forever
from heatherdyke.standin.http_server import HttpReply
from heatherdyke.standin.http_server import HttpRequest
from heatherdyke.standin.http_server import HttpServer
from heatherdyke.standin.http_server import ServerConnection
from heatherdyke.standin.leaf_content import generate_items
from heatherdyke.standin.leaf_content import generate_run_result
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke.standin.leaf_model import LeafHealth
from heatherdyke.standin.leaf_model import LeafIncarnationRecord
from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke.standin.leaf_model import LeafRecord
from heatherdyke.standin.leaf_slots import LeafSlots
from heatherdyke.standin.leaf_slots import ShedError
from heatherdyke.standin.leaf_state import LeafState

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
    """One leaf and the backend server that serves it."""

    def __init__(self, profile: LeafProfile) -> None:
        self.profile = profile
        self._server = HttpServer(
            profile.listen, self._handle, profile.connections
        )
        self._records: list[LeafIncarnationRecord] = []
        self._state = LeafState(profile)
        self._cancelled_by_part: dict[tuple[str, str], asyncio.Future] = {}
        self._announcer: asyncio.Task | None = None
        self._start_incarnation(profile.starts_cold)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return self._server.address

    @property
    def connections(self) -> set[ServerConnection]:
        """Return the open connections."""
        return self._server.connections

    @property
    def incarnation(self) -> str:
        """Return the identifier that changes on each restart."""
        return self._record.incarnation

    async def start(self) -> None:
        """Serve until ``stop``; register if a platform is configured."""
        await self._server.start()
        if self.profile.platform:
            self._announcer = asyncio.create_task(
                announce_forever(self.profile.platform, self._listed_instance)
            )

    async def stop(self) -> None:
        """Stop registering and close all connections."""
        if self._announcer is not None:
            self._announcer.cancel()
        await self._server.stop()

    def record(self) -> LeafRecord:
        """Return the counters of each incarnation."""
        self._copy_connection_counts()
        return LeafRecord(self.profile.leaf, list(self._records))

    def set_faults(self, faults: LeafFaults) -> None:
        """Apply the faults that are set in ``faults``."""
        self._state.apply(faults)
        self._slots.profile = self._state.profile
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

    def _start_incarnation(self, cold: bool) -> None:
        self._record = LeafIncarnationRecord(self.profile.leaf, uuid4().hex)
        self._records.append(self._record)
        self._slots = LeafSlots(self._state.profile, self._record)
        self._started_at = monotonic()
        if cold:
            self._slots.go_cold()

    def _restart(self) -> None:
        self._copy_connection_counts()
        self._server.close_connections()
        self._server.connections_max = 0
        self._server.connections_refused = 0
        self._state.drain_started_at = None
        self._start_incarnation(cold=True)

    def _copy_connection_counts(self) -> None:
        self._record.connections_now = self._server.connections_now
        self._record.connections_max = self._server.connections_max
        self._record.connections_refused = self._server.connections_refused

    async def _handle(self, request: HttpRequest) -> HttpReply | None:
        call = f"{request.method} {request.path}"
        if call not in _operations.by_name:
            return HttpReply(404)
        await self._wait_for_setup(request)
        if request.connection.closed:
            return None
        try:
            return await _operations.find(call)(self, request)
        except msgspec.DecodeError as error:
            return HttpReply.from_message(str(error), 400)

    async def _wait_for_setup(self, request: HttpRequest) -> None:
        if request.connection.requests_served or request.is_admin:
            return
        ready_at = request.connection.opened_at + self.profile.setup_ms / 1000
        await asyncio.sleep(max(0.0, ready_at - monotonic()))

    @_operations.register("POST /search")
    async def _search(self, request: HttpRequest) -> HttpReply | None:
        search = decode(request.body, LeafSearch)
        self._record_search(search)
        kind = self._state.find_refusal(search)
        if kind is not None:
            return self._refuse_request(self._make_refusal(search, kind))
        self._slots.record_arrival()
        part = (search.request_id, search.shard)
        cancelled = asyncio.get_running_loop().create_future()
        self._cancelled_by_part[part] = cancelled
        try:
            answer = await self._execute_search(search, cancelled)
        except ShedError:
            kind = "cancelled" if cancelled.done() else "shed"
            answer = self._make_refusal(search, kind)
        finally:
            if self._cancelled_by_part.get(part) is cancelled:
                del self._cancelled_by_part[part]
        return self._make_reply(answer, request)

    @_operations.register("POST /run")
    async def _run(self, request: HttpRequest) -> HttpReply | None:
        run = decode(request.body, LeafRun)
        self._record_arrival()
        if self._state.refuses_all:
            return self._refuse_request(self._make_refusal(run, "draining"))
        slots = self._slots
        slots.record_arrival()
        not_cancelled = asyncio.get_running_loop().create_future()
        try:
            await slots.wait_for_slot(slots.enqueue(), not_cancelled)
        except ShedError:
            return self._refuse_request(self._make_refusal(run, "shed"))
        self._record.runs += 1
        self._record.runs_by_key[run.key] += 1
        try:
            await asyncio.sleep(self.profile.run_ms / 1000)
        finally:
            slots.release(succeeded=True)
        return HttpReply.from_message(self._make_run_answer(run))

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
        health = LeafHealth(self._state.health, self._slots.load)
        return HttpReply.from_message(health)

    @_operations.register("POST /admin/faults")
    async def _set_faults(self, request: HttpRequest) -> HttpReply:
        self.set_faults(decode(request.body, LeafFaults))
        return HttpReply(200, b"{}")

    @_operations.register("GET /admin/record")
    async def _show_record(self, request: HttpRequest) -> HttpReply:
        return HttpReply.from_message(self.record())

    async def _execute_search(
        self, search: LeafSearch, cancelled: asyncio.Future
    ) -> LeafAnswer | LeafRefusal:
        arrived_at = monotonic()
        slots = self._slots
        await slots.wait_for_slot(slots.enqueue(), cancelled)
        succeeded = False
        try:
            remaining_s = arrived_at + search.remaining_ms / 1000 - monotonic()
            service_s = slots.draw_service_s()
            await asyncio.wait(
                (cancelled,), timeout=min(service_s, remaining_s)
            )
            if cancelled.done():
                self._record.cancelled += 1
                return self._make_refusal(search, "cancelled")
            if service_s >= remaining_s:
                return self._make_refusal(search, "deadline")
            succeeded = True
            return self._make_search_answer(search)
        finally:
            slots.release(succeeded)

    def _record_search(self, search: LeafSearch) -> None:
        record = self._record
        self._record_arrival()
        record.searches += 1
        record.searches_by_snapshot[search.snapshot] += 1
        record.searches_by_instance[search.instance] += 1
        requested = record.snapshots_by_request.setdefault(
            search.request_id, []
        )
        if search.snapshot not in requested:
            requested.append(search.snapshot)

    def _record_arrival(self) -> None:
        record = self._record
        record.arrivals_by_second[int(time())] += 1
        if self._state.is_draining:
            record.draining_arrivals += 1
            record.draining_last_s = self._state.drain_s

    def _make_refusal(self, request: LeafSearch | LeafRun, kind: str):
        children = self._state.children_by_shard.get(request.shard, [])
        shed_s = max(0.0, self._slots.shed_until - monotonic())
        return LeafRefusal(
            request_id=request.request_id,
            shard=request.shard,
            kind=kind,
            incarnation=self.incarnation,
            retry_after_ms=1000 * shed_s if kind == "shed" else 0.0,
            snapshots=self._state.snapshots if kind == "snapshot_gone" else [],
            children=children if kind == "shard_split" else [],
        )

    def _refuse_request(self, refusal: LeafRefusal) -> HttpReply:
        self._record.refusals_by_kind[refusal.kind] += 1
        status = STATUS_BY_REFUSAL[refusal.kind]
        return HttpReply.from_message(refusal, status)

    def _make_search_answer(self, search: LeafSearch) -> LeafAnswer:
        items = generate_items(search.shard, search.snapshot, search.query)
        return LeafAnswer(
            request_id=search.request_id,
            shard=search.shard,
            snapshot=search.snapshot,
            leaf=self.profile.leaf,
            incarnation=self.incarnation,
            items=items[: search.limit],
            total=len(items),
            draining=self._state.is_draining,
            uptime_ms=(monotonic() - self._started_at) * 1000,
        )

    def _make_run_answer(self, run: LeafRun) -> LeafRunAnswer:
        return LeafRunAnswer(
            request_id=run.request_id,
            key=run.key,
            shard=run.shard,
            leaf=self.profile.leaf,
            incarnation=self.incarnation,
            result=generate_run_result(run.shard, run.operation, run.argument),
        )

    def _make_reply(
        self, answer: LeafAnswer | LeafRefusal, request: HttpRequest
    ) -> HttpReply | None:
        if isinstance(answer, LeafRefusal):
            return self._refuse_request(answer)
        sent = self._state.apply_answer_faults(answer)
        if self._state.consume_fault("cut_answers"):
            reply_bytes = HttpReply.from_message(sent).to_bytes()
            request.connection.write(reply_bytes[: len(reply_bytes) // 2])
            return None
        return HttpReply.from_message(sent)

    def _listed_instance(self) -> ListedInstance:
        is_draining = self._state.is_draining
        return ListedInstance(
            name=self.profile.leaf,
            kind=InstanceKind.BACKEND,
            zone=self.profile.zone,
            address=self.address,
            incarnation=self.incarnation,
            state=InstanceState.LEAVING if is_draining else InstanceState.LIVE,
        )
