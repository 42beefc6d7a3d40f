"""A stand-in for the platform's store: objects by kind and name."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote

import msgspec

from heatherdyke.gateway.exchange import Exchange
from heatherdyke.gateway.messages import Answer
from heatherdyke.platform_standin.listener import Listener

PREFIX = "/api/objects/"
PAGE_OBJECTS = 50


@dataclass(slots=True)
class StoredItem:
    """One object and its revisions."""

    name: str
    spec: Any
    revision: int
    created: int

    def as_wire(self) -> dict[str, Any]:
        """Return the object as the store says it."""
        return {
            "meta": {
                "name": self.name,
                "revision": self.revision,
                "created-revision": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": None,
        }


@dataclass(slots=True)
class Occurrence:
    """A change of a kind, for watches."""

    revision: int
    kind: str
    item: StoredItem
    deleted: bool


@dataclass(slots=True, eq=False)
class Watch:
    """A watch that waits for a change after ``revision``."""

    kind: str
    revision: int
    exchange: Exchange
    timer: asyncio.TimerHandle = field(repr=False)


class StandinStore:
    """Serves the calls; ``status`` other than 200 refuses them all.

    ``calls`` counts the calls by method and kind.
    """

    __slots__ = (
        "listener",
        "status",
        "calls",
        "_revision",
        "_items_by_kind",
        "_history",
        "_first_revision",
        "_watches",
    )

    def __init__(self) -> None:
        self.listener = Listener(self._handle)
        self.status = 200
        self.calls: dict[str, int] = {}
        self._revision = 1
        self._items_by_kind: dict[str, dict[str, StoredItem]] = {}
        self._history: list[Occurrence] = []
        self._first_revision = 1
        self._watches: list[Watch] = []

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object, as the operator or a leaf does."""
        items = self._items_by_kind.setdefault(kind, {})
        known = items.get(name)
        self._revision += 1
        created = known.created if known else self._revision
        item = StoredItem(name, spec, self._revision, created)
        items[name] = item
        self._occur(kind, item, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        item = self._items_by_kind.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._occur(kind, item, deleted=True)

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        return sorted(self._items_by_kind.get(kind, {}))

    def compact_history(self) -> None:
        """Drop the history, so that older watches get 410."""
        self._history.clear()
        self._first_revision = self._revision + 1
        for watch in list(self._watches):
            self._end_watch(watch)

    def _occur(self, kind: str, item: StoredItem, deleted: bool) -> None:
        self._history.append(Occurrence(self._revision, kind, item, deleted))
        for watch in list(self._watches):
            if watch.kind == kind:
                self._end_watch(watch)

    def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        path, _, query = request.target.decode().partition("?")
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        key = f"{request.method.decode()} {kind}"
        self.calls[key] = self.calls.get(key, 0) + 1
        if self.status != 200 or not path.startswith(PREFIX):
            status = self.status if self.status != 200 else 404
            exchange.answer(Answer(status))
        elif request.method == b"POST":
            self._create(exchange, kind)
        elif name:
            self._get(exchange, kind, unquote(name))
        else:
            arguments = {
                key: values[-1] for key, values in parse_qs(query).items()
            }
            if "watch" in arguments:
                self._watch(exchange, kind, arguments)
            else:
                self._list(exchange, kind, arguments.get("after", ""))

    def _create(self, exchange: Exchange, kind: str) -> None:
        body = msgspec.json.decode(exchange.request.body)
        name = body["meta"]["name"]
        known = self._items_by_kind.get(kind, {}).get(name)
        if known is not None:
            _reply(exchange, 409, known.as_wire())
            return
        self.put(kind, name, body.get("spec"))
        _reply(exchange, 201, self._items_by_kind[kind][name].as_wire())

    def _get(self, exchange: Exchange, kind: str, name: str) -> None:
        item = self._items_by_kind.get(kind, {}).get(name)
        if item is None:
            exchange.answer(Answer(404))
        else:
            _reply(exchange, 200, item.as_wire())

    def _list(self, exchange: Exchange, kind: str, after: str) -> None:
        items = self._items_by_kind.get(kind, {})
        names = [name for name in sorted(items) if name > after]
        page = names[:PAGE_OBJECTS]
        _reply(
            exchange,
            200,
            {
                "items": [items[name].as_wire() for name in page],
                "more": len(names) > len(page),
                "at-revision": self._revision,
            },
        )

    def _watch(
        self, exchange: Exchange, kind: str, arguments: dict[str, str]
    ) -> None:
        revision = int(arguments["watch"])
        if revision + 1 < self._first_revision:
            exchange.answer(Answer(410))
            return
        wait_s = int(arguments.get("wait-ms", "0")) / 1000
        watch = Watch(kind, revision, exchange, timer=None)
        loop = asyncio.get_running_loop()
        watch.timer = loop.call_later(wait_s, self._end_watch, watch)
        self._watches.append(watch)
        exchange.on_left(lambda: self._drop_watch(watch))
        if self._events_of(watch):
            self._end_watch(watch)

    def _events_of(self, watch: Watch) -> list[Occurrence]:
        return [
            item
            for item in self._history
            if item.kind == watch.kind and item.revision > watch.revision
        ]

    def _drop_watch(self, watch: Watch) -> None:
        watch.timer.cancel()
        self._watches.remove(watch)

    def _end_watch(self, watch: Watch) -> None:
        self._drop_watch(watch)
        if watch.revision + 1 < self._first_revision:
            watch.exchange.answer(Answer(410))
            return
        events = [
            {"object": item.item.as_wire(), "deleted": item.deleted}
            for item in self._events_of(watch)
        ]
        _reply(
            watch.exchange,
            200,
            {"events": events, "at-revision": self._revision},
        )


def _reply(exchange: Exchange, status: int, body: Any) -> None:
    content_type = (b"Content-Type", b"application/json")
    exchange.answer(Answer(status, [content_type], msgspec.json.encode(body)))
