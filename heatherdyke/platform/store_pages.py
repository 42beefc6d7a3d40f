"""Decodes the store's responses to lists and watches.

A writer can store an object that cannot be decoded.  It does not affect the
others on its page.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from heatherdyke.errors import UnreadableObject
from heatherdyke.platform.json_decoding import decode_json
from heatherdyke.platform.json_parts import split_array
from heatherdyke.platform.json_parts import split_object

T = TypeVar("T")

# The spec of an object whose own cannot be decoded; no kind has such a one.
UNREADABLE_SPEC = msgspec.Raw(b"null")


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
    decoded has UNREADABLE_SPEC.
    """

    objects: list[StoredObject]
    has_more: bool
    revision: int
    nameless: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to the store's ``revision``, oldest first.

    ``nameless`` counts those of objects without a name.
    """

    changes: list[Change]
    revision: int
    nameless: int = 0


def decode_list_page(body: bytes) -> ListPage:
    """Decode a page of a list; raises UnreadableObject if it is no page."""
    try:
        page = decode_json(body, _WirePage, "list page")
    except UnreadableObject:
        return _salvage_list_page(body)
    objects = [_to_stored_object(item) for item in page.items]
    return ListPage(objects, page.more, page.at_revision)


def decode_changes(body: bytes) -> Changes:
    """Decode a watch's response; raises UnreadableObject if it is none."""
    try:
        page = decode_json(body, _WireEvents, "watch response")
    except UnreadableObject:
        return _salvage_changes(body)
    changes = [_to_change(event) for event in page.events]
    return Changes(changes, page.at_revision)


def _to_stored_object(item: _WireObject) -> StoredObject:
    return StoredObject(item.meta.name, item.spec, item.meta.revision)


def _to_change(event: _WireEvent) -> Change:
    return Change(_to_stored_object(event.object), event.deleted)


def _salvage_list_page(body: bytes) -> ListPage:
    """Decode the objects of a page one by one."""
    position, parts = _split_page(body, b"items")
    objects, nameless = _salvage_each(parts, _salvage_object)
    return ListPage(objects, position.more, position.at_revision, nameless)


def _salvage_changes(body: bytes) -> Changes:
    """Decode the changes of a response one by one."""
    position, parts = _split_page(body, b"events")
    changes, nameless = _salvage_each(parts, _salvage_change)
    return Changes(changes, position.at_revision, nameless)


def _salvage_each(
    parts: list[bytes], salvage: Callable[[bytes], T | None]
) -> tuple[list[T], int]:
    """Return what can be salvaged, and the number of other parts."""
    salvaged = [salvage(part) for part in parts]
    found = [item for item in salvaged if item is not None]
    return found, len(parts) - len(found)


def _split_page(body: bytes, name: bytes) -> tuple[_WirePosition, list[bytes]]:
    """Return a page's position and the texts of its array ``name``."""
    try:
        value_by_name = split_object(body)
        parts = split_array(value_by_name.get(name, b""))
    except ValueError as error:
        raise UnreadableObject("page", str(error)) from error
    members = [
        b'"%s":%s' % member
        for member in value_by_name.items()
        if member[0] in (b"more", b"at-revision")
    ]
    position = b"{%s}" % b",".join(members)
    return decode_json(position, _WirePosition, "page"), parts


def _salvage_object(data: bytes) -> StoredObject | None:
    """Return the object, None if not even its name can be decoded."""
    try:
        return _to_stored_object(decode_json(data, _WireObject, "object"))
    except UnreadableObject:
        pass
    try:
        meta_text = split_object(data).get(b"meta", b"")
        meta = decode_json(meta_text, _WireMeta, "object")
    except (UnreadableObject, ValueError):
        return None
    return StoredObject(meta.name, UNREADABLE_SPEC, meta.revision)


def _salvage_change(data: bytes) -> Change | None:
    try:
        value_by_name = split_object(data)
    except ValueError:
        return None
    stored = _salvage_object(value_by_name.get(b"object", b""))
    if stored is None:
        return None
    deletion = b'{"deleted":%s}' % value_by_name.get(b"deleted", b"false")
    try:
        deleted = decode_json(deletion, _WireDeletion, "change").deleted
    except UnreadableObject:
        return None
    return Change(stored, deleted)
