"""Calls to the platform's store: list, watch, create and replace objects."""

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import TransportError
from heatherdyke.net.address import Address
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.net.http_connection import HttpResponse
from heatherdyke.net.keepalive import KeepAlive

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
WATCH_SLACK_S = 2.0
PROBES = KeepAlive(idle_s=1, interval_s=1, probes=2)

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_CONFLICT = 409
STATUS_GONE = 410


class HistoryGone(PlatformUnavailable):
    """The store dropped the changes that a watch wanted: list again."""

    kind = "history_gone"


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="kebab"):
    items: list[_Object]
    more: bool = False
    # The store's own revision at the time of the answer.
    at_revision: int = 0


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    events: list[_Event]
    at_revision: int = 0


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of a kind; ``spec`` is its undecoded JSON."""

    name: str
    spec: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind as of the store's ``revision``."""

    objects: list[StoredObject]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written or deleted."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed up to the store's ``revision``, oldest first."""

    changes: list[Change]
    revision: int


class StoreClient:
    """One connection to the store; calls must not overlap.

    Raises PlatformUnavailable when a call is not served.
    """

    __slots__ = ("calls", "_address", "_connection")

    def __init__(self, address: Address) -> None:
        self.calls = 0
        self._address = str(address)
        self._connection: HttpConnection | None = None

    async def list(self, kind: str, allow_stale: bool = False) -> Listing:
        """Return all objects of the kind, read page by page.

        A list that may be some seconds old costs a tenth of another.
        """
        old = "&allow-stale=1" if allow_stale else ""
        objects: list[StoredObject] = []
        revision: int | None = None
        target = f"/api/objects/{kind}?after={old}"
        while True:
            page = _decode(await self._call("GET", target), _Page)
            objects.extend(_stored(item) for item in page.items)
            # Changes since the first page are watched for from there.
            revision = page.at_revision if revision is None else revision
            if not page.more or not page.items:
                return Listing(objects, revision)
            after = quote(page.items[-1].meta.name, "")
            target = f"/api/objects/{kind}?after={after}{old}"

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return what changes after ``revision``, within ``wait_s``.

        Raises HistoryGone if the store no longer knows that revision.
        """
        target = (
            f"/api/objects/{kind}?watch={revision}"
            f"&wait-ms={int(wait_s * 1000)}&allow-stale=1"
        )
        response = await self._call("GET", target, wait_s + WATCH_SLACK_S)
        page = _decode(response, _Events)
        changes = [
            Change(_stored(event.object), event.deleted)
            for event in page.events
        ]
        return Changes(changes, page.at_revision)

    async def create(self, kind: str, name: str, spec: object) -> bool:
        """Create the object; return False if it exists already."""
        body = msgspec.json.encode({"meta": {"name": name}, "spec": spec})
        response = await self._call(
            "POST", f"/api/objects/{kind}", body=body, accept_conflict=True
        )
        return response.status != STATUS_CONFLICT

    def close(self) -> None:
        """Drop the connection; a call under way fails."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _call(
        self,
        method: str,
        target: str,
        timeout_s: float = CALL_TIMEOUT_S,
        body: bytes = b"",
        accept_conflict: bool = False,
    ) -> HttpResponse:
        self.calls += 1
        try:
            connection = await self._open()
            response = await connection.request(
                method, target, body, timeout_s
            )
        except TransportError as error:
            self.close()
            raise PlatformUnavailable(error.detail, "try again") from error
        status = response.status
        if status == STATUS_GONE:
            raise HistoryGone(f"{target}: history gone", "list again")
        accepted = status in (STATUS_OK, STATUS_CREATED) or (
            accept_conflict and status == STATUS_CONFLICT
        )
        if not accepted:
            raise PlatformUnavailable(
                f"the store answered {status} to {method} {target}",
                "try again",
            )
        return response

    async def _open(self) -> HttpConnection:
        connection = self._connection
        if connection is None or not connection.usable:
            self.close()
            connection = await HttpConnection.open(
                self._address, CONNECT_TIMEOUT_S
            )
            connection.probe(PROBES)
            self._connection = connection
        return connection


def _stored(item: _Object) -> StoredObject:
    return StoredObject(item.meta.name, item.spec)


def _decode(response: HttpResponse, wire_type: type):
    try:
        return msgspec.json.decode(response.body, type=wire_type)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(
            f"the store's answer cannot be read: {error}", "try again"
        ) from error
