"""A stand-in for the platform's store: objects by kind and name."""

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

import msgspec

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import ClientResponse
from heatherdyke.platform.headers import STORE_ERA
from heatherdyke.platform_standin.call_faults import CallFaults
from heatherdyke.platform_standin.call_faults import StoreCall
from heatherdyke.platform_standin.listener import Listener
from heatherdyke.platform_standin.old_reads import OldReads
from heatherdyke.platform_standin.store_objects import HistoryEntry
from heatherdyke.platform_standin.store_objects import StoreCopy
from heatherdyke.platform_standin.store_objects import StoredItem

PREFIX = "/api/objects/"
MAX_OBJECTS_PER_PAGE = 50
# A page with more than one object has no more bytes than this.
MAX_PAGE_BYTES = 1_048_576


@dataclass(slots=True, eq=False)
class PendingWatch:
    """A watch request that waits for a change after ``revision``."""

    kind: str
    revision: int
    exchange: Exchange
    is_stale: bool
    timer: asyncio.TimerHandle = field(repr=False)


class StandinStore:
    """A store in memory that serves the platform's object API.

    A ``status`` other than 200 is returned to every call, and 503 to those
    for one of the ``refused_kinds``; while it ``is_silent`` it accepts calls
    and answers none.  Lists take ``list_delay_s``.  ``calls`` counts the calls
    by method and kind, ``fresh_reads`` the up-to-date reads by kind.
    ``old_reads`` states how old the data of the other reads is, and
    ``call_faults`` which calls fail alone.  ``era`` is stated in all answers.
    """

    __slots__ = (
        "listener",
        "status",
        "is_silent",
        "list_delay_s",
        "refused_kinds",
        "calls",
        "fresh_reads",
        "old_reads",
        "call_faults",
        "era",
        "_revision",
        "_items_by_kind",
        "_history",
        "_first_revision",
        "_watches",
        "_stale_lists",
    )

    def __init__(self) -> None:
        self.listener = Listener(self._handle)
        self.status = 200
        self.is_silent = False
        self.list_delay_s = 0.0
        self.refused_kinds: set[str] = set()
        self.calls: dict[str, int] = {}
        self.fresh_reads: dict[str, int] = {}
        self.old_reads = OldReads()
        self.call_faults = CallFaults()
        self.era: int | None = 1
        self._revision = 1
        self._items_by_kind: dict[str, dict[str, StoredItem]] = {}
        self._history: list[HistoryEntry] = []
        self._first_revision = 1
        self._watches: list[PendingWatch] = []
        self._stale_lists: tuple[int, dict[str, dict[str, StoredItem]]] | None
        self._stale_lists = None

    def freeze_stale_lists(self) -> None:
        """Answer lists that may be stale with the present objects for ever."""
        items = {
            kind: dict(by_name)
            for kind, by_name in self._items_by_kind.items()
        }
        self._stale_lists = (self._revision, items)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, as an operator or a leaf would."""
        items = self._items_by_kind.setdefault(kind, {})
        existing = items.get(name)
        self._revision += 1
        created = existing.created if existing else self._revision
        item = StoredItem(name, spec, self._revision, created)
        items[name] = item
        self._record_change(kind, item, False, existing)

    def delete(self, kind: str, name: str) -> None:
        """Delete the object if it exists."""
        item = self._items_by_kind.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            deleted = replace(item, revision=self._revision)
            self._record_change(kind, deleted, True, item)

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind, sorted."""
        return sorted(self._items_by_kind.get(kind, {}))

    def spec(self, kind: str, name: str) -> Any:
        """Return an object's spec; raises KeyError if it does not exist."""
        return self._items_by_kind[kind][name].spec

    def compact_history(self) -> None:
        """Discard the history; watches from older revisions get 410."""
        self._history.clear()
        self._first_revision = self._revision + 1
        for watch in list(self._watches):
            self._respond_to_watch(watch)

    def copy(self) -> StoreCopy:
        """Return a copy of all objects and the history."""
        items = {
            kind: dict(by_name)
            for kind, by_name in self._items_by_kind.items()
        }
        return StoreCopy(self._revision, items, list(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Become what the copy holds; watches that wait are cut off.

        Its revisions are given out again.
        """
        for watch in list(self._watches):
            self._remove_watch(watch)
        self._revision = copy.revision
        self._items_by_kind = copy.items_by_kind
        self._history = copy.history
        self.old_reads.restart(copy.revision)
        if self.era is not None:
            self.era += 1
        for connection in list(self.listener.connections):
            connection.transport.abort()

    def write_again(self, kind: str, lost: StoreCopy) -> None:
        """Write a kind's objects as they were before a restoration."""
        before = lost.items_by_kind.get(kind, {})
        for name in self._items_by_kind.get(kind, {}).keys() - before.keys():
            self.delete(kind, name)
        for name, item in before.items():
            self.put(kind, name, item.spec)

    def show_changes(self) -> None:
        """Respond to the watches for which there are visible changes."""
        for watch in list(self._watches):
            if self._changes_for(watch):
                self._respond_to_watch(watch)

    def _record_change(
        self,
        kind: str,
        item: StoredItem,
        deleted: bool,
        before: StoredItem | None,
    ) -> None:
        self._history.append(
            HistoryEntry(self._revision, kind, item, deleted, before)
        )
        self.old_reads.record(self._revision, time.monotonic())
        self.show_changes()
        lag_s = self.old_reads.lag_of(kind)
        if lag_s > 0.0:
            # Timers may fire a little early.
            later_s = lag_s + 0.01
            loop = asyncio.get_running_loop()
            loop.call_later(later_s, self.show_changes)

    def _visible_revision(self, kind: str, is_stale: bool) -> int:
        if not is_stale:
            return self._revision
        now = time.monotonic()
        return self.old_reads.visible_revision(kind, self._revision, now)

    def _stated_revision(self, kind: str, is_stale: bool) -> int:
        if self.old_reads.hides_its_age:
            return self._revision
        return self._visible_revision(kind, is_stale)

    def _items_at(self, kind: str, revision: int) -> dict[str, StoredItem]:
        """Return the objects of a kind at an earlier revision."""
        items = dict(self._items_by_kind.get(kind, {}))
        for change in reversed(self._history):
            if change.revision <= revision:
                break
            if change.kind != kind:
                continue
            if change.before is None:
                items.pop(change.item.name, None)
            else:
                items[change.item.name] = change.before
        return items

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.decode().partition("?")
        kind = path.removeprefix(PREFIX).partition("/")[0]
        key = f"{request.method.decode()} {kind}"
        self.calls[key] = self.calls.get(key, 0) + 1
        if request.method == b"GET" and "allow-stale" not in query:
            self.fresh_reads[kind] = self.fresh_reads.get(kind, 0) + 1
        if self.is_silent:
            return
        call = StoreCall(
            request.method.decode(),
            kind,
            is_stale="allow-stale" in query,
        )
        fault = self.call_faults.find(call)
        if fault is None:
            self._serve(exchange)
        elif fault.status:
            self._answer(exchange, ClientResponse(fault.status))
        elif not fault.is_lost:
            asyncio.get_running_loop().call_later(
                fault.delay_s, self._serve, exchange
            )

    def _serve(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        request = exchange.request
        path, _, query = request.target.decode().partition("?")
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        if self.status != 200 or not path.startswith(PREFIX):
            status = self.status if self.status != 200 else 404
            self._answer(exchange, ClientResponse(status))
        elif kind in self.refused_kinds:
            self._answer(exchange, ClientResponse(503))
        elif request.method == b"POST":
            self._create(exchange, kind)
        elif request.method == b"PUT":
            self._replace(exchange, kind, unquote(name))
        elif request.method == b"DELETE":
            self.delete(kind, unquote(name))
            self._answer(exchange, ClientResponse(204))
        elif name:
            self._get(exchange, kind, unquote(name))
        else:
            arguments = {
                key: values[-1] for key, values in parse_qs(query).items()
            }
            if "watch" in arguments:
                self._watch(exchange, kind, arguments)
            else:
                asyncio.get_running_loop().call_later(
                    self.list_delay_s, self._list, exchange, kind, arguments
                )

    def _create(self, exchange: Exchange, kind: str) -> None:
        body = msgspec.json.decode(exchange.request.body)
        name = body["meta"]["name"]
        existing = self._items_by_kind.get(kind, {}).get(name)
        if existing is not None:
            self._reply(exchange, 409, existing.to_wire())
            return
        self.put(kind, name, body.get("spec"))
        self._reply(exchange, 201, self._items_by_kind[kind][name].to_wire())

    def _replace(self, exchange: Exchange, kind: str, name: str) -> None:
        if name not in self._items_by_kind.get(kind, {}):
            self._answer(exchange, ClientResponse(404))
            return
        body = msgspec.json.decode(exchange.request.body)
        self.put(kind, name, body.get("spec"))
        self._reply(exchange, 200, self._items_by_kind[kind][name].to_wire())

    def _get(self, exchange: Exchange, kind: str, name: str) -> None:
        item = self._items_by_kind.get(kind, {}).get(name)
        if item is None:
            self._answer(exchange, ClientResponse(404))
        else:
            self._reply(exchange, 200, item.to_wire())

    def _list(
        self, exchange: Exchange, kind: str, arguments: dict[str, str]
    ) -> None:
        is_stale = "allow-stale" in arguments
        if self._stale_lists is not None and is_stale:
            revision, items_by_kind = self._stale_lists
            items = items_by_kind.get(kind, {})
        else:
            revision = self._stated_revision(kind, is_stale)
            visible = self._visible_revision(kind, is_stale)
            items = self._items_at(kind, visible)
        after = arguments.get("after", "")
        names = [name for name in sorted(items) if name > after]
        page = _first_page([items[name] for name in names])
        self._reply(
            exchange,
            200,
            {
                "items": page,
                "more": len(names) > len(page),
                "at-revision": revision,
            },
        )

    def _watch(
        self, exchange: Exchange, kind: str, arguments: dict[str, str]
    ) -> None:
        is_stale = "allow-stale" in arguments
        revision = int(arguments["watch"])
        is_gone = revision + 1 < self._first_revision
        if is_gone or revision > self._revision:
            self._answer(exchange, ClientResponse(410))
            return
        wait_s = int(arguments.get("wait-ms", "0")) / 1000
        watch = PendingWatch(kind, revision, exchange, is_stale, timer=None)
        loop = asyncio.get_running_loop()
        watch.timer = loop.call_later(wait_s, self._respond_to_watch, watch)
        self._watches.append(watch)
        exchange.on_disconnect(lambda: self._remove_watch(watch))
        if self._changes_for(watch):
            self._respond_to_watch(watch)

    def _changes_for(self, watch: PendingWatch) -> list[HistoryEntry]:
        visible = self._visible_revision(watch.kind, watch.is_stale)
        return [
            change
            for change in self._history
            if change.kind == watch.kind
            and watch.revision < change.revision <= visible
        ]

    def _remove_watch(self, watch: PendingWatch) -> None:
        watch.timer.cancel()
        if watch in self._watches:
            self._watches.remove(watch)

    def _reply(self, exchange: Exchange, status: int, body: Any) -> None:
        content_type = (b"Content-Type", b"application/json")
        response = ClientResponse(
            status, [content_type], msgspec.json.encode(body)
        )
        self._answer(exchange, response)

    def _answer(self, exchange: Exchange, response: ClientResponse) -> None:
        if self.era is not None:
            response.headers.append((STORE_ERA, b"%d" % self.era))
        exchange.answer(response)

    def _respond_to_watch(self, watch: PendingWatch) -> None:
        self._remove_watch(watch)
        if watch.revision + 1 < self._first_revision:
            self._answer(watch.exchange, ClientResponse(410))
            return
        events = [
            {"object": change.item.to_wire(), "deleted": change.deleted}
            for change in self._changes_for(watch)
        ]
        self._reply(
            watch.exchange,
            200,
            {
                "events": events,
                "at-revision": self._stated_revision(
                    watch.kind, watch.is_stale
                ),
            },
        )


def _first_page(items: list[StoredItem]) -> list[msgspec.Raw]:
    """Return the encoded objects that fit on one page, the first at least."""
    page: list[msgspec.Raw] = []
    size = 0
    for item in items[:MAX_OBJECTS_PER_PAGE]:
        encoded = msgspec.json.encode(item.to_wire())
        size += len(encoded)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(msgspec.Raw(encoded))
    return page
