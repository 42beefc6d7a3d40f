"""Decodes the store's responses to lists and watches.

A writer can store an object that cannot be decoded.  It does not affect the
others on its page, and the page is then read in slices.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.platform.json_decoding import decode_json
from heatherdyke.platform.json_scanner import NOTHING
from heatherdyke.platform.json_scanner import Found
from heatherdyke.platform.json_scanner import JsonScanner
from heatherdyke.platform.json_scanner import Slices
from heatherdyke.platform.json_scanner import Wanted

T = TypeVar("T")

# The spec of an object whose own cannot be decoded; no kind has such a one.
UNREADABLE_SPEC = msgspec.Raw(b"null")
# Objects of more text are decoded in several slices.
MAX_SLICE_BYTES = 262_144

# What is looked for on a page with an object that cannot be decoded.
_POSITION = {b"more": NOTHING, b"at-revision": NOTHING}
_OBJECT = Wanted({b"meta": NOTHING})
_EVENT = Wanted({b"object": _OBJECT, b"deleted": NOTHING})


class _WireMeta(msgspec.Struct):
    name: str
    revision: int = 0


class _WireObject(msgspec.Struct):
    meta: _WireMeta
    spec: msgspec.Raw = UNREADABLE_SPEC


class _WirePosition(msgspec.Struct, rename="kebab"):
    """What a page holds besides objects."""

    more: bool = False
    # The store's revision at the time of the response.
    at_revision: int = 0


class _WirePage(_WirePosition, rename="kebab", kw_only=True):
    items: list[_WireObject]


class _WireEvent(msgspec.Struct):
    object: _WireObject
    deleted: bool = False


class _WireEvents(_WirePosition, rename="kebab", kw_only=True):
    events: list[_WireEvent]


class _WireDeletion(msgspec.Struct):
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of some kind; ``spec`` is undecoded JSON.

    ``revision`` is that of its last change, 0 if unknown.
    """

    name: str
    spec: msgspec.Raw
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """An object that was written or deleted."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list; ``nameless`` counts objects without a name.

    Of such an object nothing is known; one of which only the spec cannot be
    decoded has UNREADABLE_SPEC.  A page with either ``is_salvaged``.
    """

    objects: list[StoredObject]
    has_more: bool
    revision: int
    nameless: int = 0
    is_salvaged: bool = False


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to the store's ``revision``, oldest first.

    ``nameless`` counts those of objects without a name, and ``is_salvaged``
    is as in a ListPage.
    """

    changes: list[Change]
    revision: int
    nameless: int = 0
    is_salvaged: bool = False


def decode_list_page(body: bytes) -> Slices[ListPage]:
    """Decode a page of a list; raises UnreadableObject if it is no page."""
    try:
        page = decode_json(body, _WirePage, "list page")
    except UnreadableObject:
        return (yield from _salvage_list_page(body))
    objects = [_to_stored_object(item) for item in page.items]
    return ListPage(objects, page.more, page.at_revision)


def decode_changes(body: bytes) -> Slices[Changes]:
    """Decode a watch's response; raises UnreadableObject if it is none."""
    try:
        page = decode_json(body, _WireEvents, "watch response")
    except UnreadableObject:
        return (yield from _salvage_changes(body))
    changes = [_to_change(event) for event in page.events]
    return Changes(changes, page.at_revision)


def _to_stored_object(item: _WireObject) -> StoredObject:
    return StoredObject(item.meta.name, item.spec, item.meta.revision)


def _to_change(event: _WireEvent) -> Change:
    return Change(_to_stored_object(event.object), event.deleted)


def _salvage_list_page(body: bytes) -> Slices[ListPage]:
    """Decode the objects of a page one by one."""
    position, items = yield from _scan_page(body, b"items", _OBJECT)
    objects, nameless = yield from _salvage_each(items, _salvage_object)
    return ListPage(
        objects, position.more, position.at_revision, nameless, True
    )


def _salvage_changes(body: bytes) -> Slices[Changes]:
    """Decode the changes of a response one by one."""
    position, events = yield from _scan_page(body, b"events", _EVENT)
    changes, nameless = yield from _salvage_each(events, _salvage_change)
    return Changes(changes, position.at_revision, nameless, True)


def _salvage_each(
    items: list[Found], salvage: Callable[[Found], T | None]
) -> Slices[tuple[list[T], int]]:
    """Return what can be salvaged, and the number of other items."""
    salvaged: list[T] = []
    unyielded_bytes = 0
    for item in items:
        unyielded_bytes += len(item.text)
        if unyielded_bytes > MAX_SLICE_BYTES:
            yield
            unyielded_bytes = len(item.text)
        found = salvage(item)
        if found is not None:
            salvaged.append(found)
    return salvaged, len(items) - len(salvaged)


def _scan_page(
    body: bytes, name: bytes, element: Wanted
) -> Slices[tuple[_WirePosition, list[Found]]]:
    """Return a page's position and the elements of its array ``name``."""
    wanted = Wanted({**_POSITION, name: Wanted(elements=element)})
    try:
        page = yield from JsonScanner(body).scan(wanted)
    except ValueError as error:
        raise UnreadableObject("page", str(error)) from error
    array = page.member_by_name.pop(name, None)
    if array is None or array.elements is None:
        raise UnreadableObject("page", f"has no array {name.decode()!r}")
    members = [
        b'"%s":%s' % (key, value.text)
        for key, value in page.member_by_name.items()
    ]
    position = b"{%s}" % b",".join(members)
    return decode_json(position, _WirePosition, "page"), array.elements


def _salvage_object(item: Found) -> StoredObject | None:
    """Return the object, None if not even its name can be decoded."""
    try:
        return _to_stored_object(decode_json(item.text, _WireObject, "object"))
    except UnreadableObject:
        pass
    meta = item.member_by_name.get(b"meta")
    if meta is None:
        return None
    try:
        decoded = decode_json(meta.text, _WireMeta, "object")
    except UnreadableObject:
        return None
    return StoredObject(decoded.name, UNREADABLE_SPEC, decoded.revision)


def _salvage_change(event: Found) -> Change | None:
    item = event.member_by_name.get(b"object")
    stored = None if item is None else _salvage_object(item)
    if stored is None:
        return None
    deleted = event.member_by_name.get(b"deleted")
    text = b"false" if deleted is None else deleted.text
    try:
        deletion = decode_json(
            b'{"deleted":%s}' % text, _WireDeletion, "change"
        )
    except UnreadableObject:
        return None
    return Change(stored, deletion.deleted)
