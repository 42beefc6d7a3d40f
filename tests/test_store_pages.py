"""Tests of pages of the store that hold objects nobody can decode."""

import json
from time import process_time
from unittest.mock import patch

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from msgspec import Raw

from heatherdyke.errors import UnreadableObject
from heatherdyke.platform import json_scanner
from heatherdyke.platform.discovery import decode_leaf
from heatherdyke.platform.instances import decode_instance
from heatherdyke.platform.json_scanner import NOTHING
from heatherdyke.platform.json_scanner import Found
from heatherdyke.platform.json_scanner import JsonScanner
from heatherdyke.platform.json_scanner import Slices
from heatherdyke.platform.json_scanner import Wanted
from heatherdyke.platform.quarantines import decode_quarantine
from heatherdyke.platform.store_pages import UNREADABLE_SPEC
from heatherdyke.platform.store_pages import Changes
from heatherdyke.platform.store_pages import ListPage
from heatherdyke.platform.store_pages import decode_changes as change_slices
from heatherdyke.platform.store_pages import decode_list_page as page_slices

UNREADABLE_SPECS = {
    "half of a surrogate pair": rb'{"version":"v1 \ud83d"}',
    "half of a surrogate pair as a name": rb'{"\ud83d":1}',
    "not a number": b'{"slots":NaN}',
    "a number with a leading zero": b'{"slots":007}',
    "a control character": b'{"zone":"a\x01"}',
    "an escape that JSON lacks": rb'{"zone":"\x41"}',
    "nested lists": b'{"x":' + b"[" * 1100 + b"]" * 1100 + b"}",
    "nested objects": b'{"x":' + b'{"x":' * 60_000 + b"1" + b"}" * 60_001,
}
by_label = pytest.mark.parametrize(
    "spec", UNREADABLE_SPECS.values(), ids=UNREADABLE_SPECS.keys()
)
EXAMPLES = settings(max_examples=50, deadline=None)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats(allow_nan=False)
    | strategies.text(),
    lambda values: (
        strategies.lists(values)
        | strategies.dictionaries(strategies.text(), values)
    ),
)


def stored(name: str, spec: bytes = b'{"state":"ready"}') -> bytes:
    """Return an object in the store's format."""
    meta = b'{"name":"%s","revision":3,"finalizers":[]}' % name.encode()
    return b'{"meta":%s,"spec":%s,"status":null}' % (meta, spec)


def list_page(*items: bytes) -> bytes:
    return b'{"items":[%s],"more":true,"at-revision":9}' % b",".join(items)


def changes(*items: bytes) -> bytes:
    events = b",".join(
        b'{"object":%s,"deleted":false}' % item for item in items
    )
    return b'{"events":[%s],"at-revision":9}' % events


def result_of(slices: Slices):
    """Return the result of work, whatever its number of slices."""
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return end.value


def decode_list_page(body: bytes) -> ListPage:
    return result_of(page_slices(body))


def decode_changes(body: bytes) -> Changes:
    return result_of(change_slices(body))


def scan(text: bytes, wanted: Wanted, chunk_bytes: int = 0) -> Found:
    """Scan; with ``chunk_bytes`` as large values are, by such chunks."""
    scanner = JsonScanner(text)
    if not chunk_bytes:
        return result_of(scanner.scan(wanted))
    with patch.multiple(
        json_scanner, FIRST_MATCHES=0, CHUNK_BYTES=chunk_bytes, SLICE_S=0.0
    ):
        return result_of(scanner.scan(wanted))


def elements_of(text: bytes, chunk_bytes: int = 0) -> list[bytes]:
    """Return the texts of an array's elements."""
    found = scan(text, Wanted(elements=NOTHING), chunk_bytes)
    if found.elements is None:
        raise ValueError("no array")
    return [element.text for element in found.elements]


def members_of(
    text: bytes, *names: bytes, chunk_bytes: int = 0
) -> dict[bytes, bytes]:
    """Return the texts of an object's members by the texts of their names."""
    wanted = Wanted(dict.fromkeys(names, NOTHING))
    found = scan(text, wanted, chunk_bytes)
    return {name: x.text for name, x in found.member_by_name.items()}


CHUNKS = strategies.sampled_from([0, 7, 64])


class TestScanning:
    @EXAMPLES
    @given(
        strategies.lists(JSON_VALUES),
        strategies.sampled_from([None, 1]),
        CHUNKS,
    )
    def test_elements_are_those_of_the_array(self, values, indent, chunk):
        text = json.dumps(values, indent=indent).encode()
        assert [json.loads(x) for x in elements_of(text, chunk)] == values

    @EXAMPLES
    @given(
        strategies.dictionaries(strategies.text(), JSON_VALUES, min_size=1),
        strategies.booleans(),
        strategies.sampled_from([None, 1]),
        CHUNKS,
    )
    def test_members_are_those_of_the_object(
        self, values, ascii_only, indent, chunk
    ):
        def encode(value, indent=None) -> bytes:
            text = json.dumps(value, ensure_ascii=ascii_only, indent=indent)
            return text.encode("utf-8", "surrogatepass")

        names = [encode(name)[1:-1] for name in values]
        members = members_of(encode(values, indent), *names, chunk_bytes=chunk)
        found = {
            json.loads(b'"%s"' % name): json.loads(value)
            for name, value in members.items()
        }
        assert found == values

    @EXAMPLES
    @given(JSON_VALUES, JSON_VALUES, CHUNKS)
    def test_what_is_within_other_values_is_not_found(
        self, first, last, chunk
    ):
        text = json.dumps({"a": first, "meta": [1], "z": last}).encode()
        found = members_of(text, b"meta", chunk_bytes=chunk)
        assert found == {b"meta": b"[1]"}

    @given(strategies.binary(), CHUNKS)
    def test_any_bytes_are_scanned_or_rejected(self, data, chunk):
        for text in (data, b"[" + data, b'{"a":[' + data):
            for wanted in (Wanted(elements=NOTHING), Wanted({b"a": NOTHING})):
                try:
                    scan(text, wanted, chunk)
                except ValueError:
                    pass

    @pytest.mark.parametrize(
        "text", [b"", b"1", b"[", b"[}", b"[[]", b"[]]", b'["a]', b"{1}"]
    )
    def test_other_text_is_rejected(self, text):
        with pytest.raises(ValueError):
            members_of(text, b"a") if text == b"{1}" else elements_of(text)


VALUE_BYTES = 1_048_576
ODD = rb'"\ud83d"'
LARGE_SPECS = {
    "empty lists": b"[%s,%s1]" % (ODD, b"[]," * (VALUE_BYTES // 3)),
    "nested lists": b"[" * (VALUE_BYTES // 2) + b"]" * (VALUE_BYTES // 2),
    "lists beside lists": b"[%s,%s1%s]"
    % (ODD, b"[[]," * (VALUE_BYTES // 5), b"]" * (VALUE_BYTES // 5)),
    "nested objects": b'{"x":' * (VALUE_BYTES // 6)
    + b"1"
    + b"}" * (VALUE_BYTES // 6),
    "strings": b"[%s,%s1]" % (ODD, b'"",' * (VALUE_BYTES // 3)),
    "a string of escapes": b'[%s,"%s"]' % (ODD, b"\\n" * (VALUE_BYTES // 2)),
    "numbers": b"[%s,%s1]" % (ODD, b"1," * (VALUE_BYTES // 2)),
}
# Requests and health checks wait for one slice.
MAX_SLICE_S = 0.1
# Drains and versions in the same response wait for all of them.
MAX_TOTAL_S = 1.5


def timed_slices(slices: Slices) -> tuple[object, list[float]]:
    """Return the result of work, and the processor time of each slice."""
    durations_s = []
    while True:
        began_at = process_time()
        try:
            next(slices)
        except StopIteration as end:
            return end.value, durations_s
        finally:
            durations_s.append(process_time() - began_at)


class TestLargeUnreadableObject:
    # Guards against instances that stand still for seconds, for all their
    # callers, as they read a large object of another writer.
    @pytest.mark.parametrize(
        "spec", LARGE_SPECS.values(), ids=LARGE_SPECS.keys()
    )
    def test_it_is_read_in_short_slices(self, spec):
        body = changes(stored("odd", spec), stored("a"))
        result, durations_s = timed_slices(change_slices(body))
        assert [x.object.name for x in result.changes] == ["odd", "a"]
        assert result.changes[0].object.spec == UNREADABLE_SPEC
        assert max(durations_s) < MAX_SLICE_S
        assert sum(durations_s) < MAX_TOTAL_S

    # Guards against a standstill at an outage's end: all its changes, and one
    # that cannot be read.
    def test_many_small_ones_beside_it_are_read_in_short_slices(self):
        odd = stored("odd", UNREADABLE_SPECS["not a number"])
        body = changes(odd, *(stored(f"n-{x}") for x in range(20_000)))
        result, durations_s = timed_slices(change_slices(body))
        assert len(result.changes) == 20_001
        assert max(durations_s) < MAX_SLICE_S


class TestUnreadableObject:
    """One made all lists and watches of its kind fail (review/1)."""

    @by_label
    def test_the_others_of_a_list_are_decoded(self, spec):
        page = decode_list_page(
            list_page(stored("a"), stored("odd", spec), stored("b"))
        )
        assert [item.name for item in page.objects] == ["a", "odd", "b"]
        assert page.objects[1].spec == UNREADABLE_SPEC
        assert page.objects[2].spec == Raw(b'{"state":"ready"}')
        assert (page.has_more, page.revision, page.nameless) == (True, 9, 0)

    @by_label
    def test_the_others_of_a_watch_are_decoded(self, spec):
        result = decode_changes(
            changes(stored("a"), stored("odd", spec), stored("b"))
        )
        names = [item.object.name for item in result.changes]
        assert names == ["a", "odd", "b"]
        assert result.changes[1].object.spec == UNREADABLE_SPEC
        assert (result.revision, result.nameless) == (9, 0)

    @pytest.mark.parametrize(
        "item",
        [
            stored(r"\ud83d"),
            stored("a").replace(b'"name"', b'"other"'),
            b'{"spec":{}}',
            b"7",
            stored("a").replace(b'"a"', b'"\xff"'),
            stored("a").replace(b'"meta":', b'"meta"'),
            stored("a").replace(b'"meta":', b'"meta":"x"'),
            stored("a").replace(b'"spec":', b'"spec":nu,ll'),
            stored("a").replace(b'"spec":', b""),
        ],
    )
    def test_one_without_a_name_is_counted(self, item):
        page = decode_list_page(list_page(stored("a"), item))
        assert [x.name for x in page.objects] == ["a"]
        assert page.nameless == 1
        result = decode_changes(changes(item, stored("a")))
        assert [x.object.name for x in result.changes] == ["a"]
        assert result.nameless == 1

    def test_a_deletion_is_still_one(self):
        odd = stored("odd", UNREADABLE_SPECS["not a number"])
        body = changes(odd).replace(b"false", b"true")
        assert decode_changes(body).changes[0].deleted

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"<html>",
            b'{"items":[{]}',
            b"[]",
            b"{}",
            b'{"more":false}',
            b'{"items":[]"a","events":[]"a"}',
            b'{"items":[]{},"events":[]{}}',
        ],
    )
    def test_a_page_that_is_none_is_rejected(self, body):
        """Taken for an empty one it would remove all objects."""
        with pytest.raises(UnreadableObject):
            decode_list_page(body)
        with pytest.raises(UnreadableObject):
            decode_changes(body)


ENTRY = (
    '{"service":"one","address":"10.0.0.1:80","zone":"a","state":"ready",'
    '"cold-remaining-ms":0,"sequence":1,"slots":3,"version":"v1","born":1}'
)


class TestInvalidLeafEntry:
    """Numbers out of range reached calculations and connections."""

    def test_a_valid_entry_is_accepted(self):
        assert decode_leaf("x", Raw(ENTRY.encode())).slots == 3

    @pytest.mark.parametrize(
        ("text", "odd"),
        [
            ('"slots":3', '"slots":0'),
            ('"slots":3', '"slots":' + "9" * 400),
            ('"sequence":1', '"sequence":' + "9" * 5000),
            ('"sequence":1', '"sequence":-1'),
            ('"born":1', '"born":1' + "0" * 30),
            (":80", ":0"),
            (":80", ":-5"),
            (":80", ":99999"),
            (":80", ":" + "8" * 5000),
            ("10.0.0.1", "10.0.0.1\\u0000"),
            ("10.0.0.1", "localhost"),
            ('"state":"ready"', '"state":"asleep"'),
            ('"zone":"a"', '"zone":null'),
            ('"cold-remaining-ms":0', '"cold-remaining-ms":1e999'),
        ],
    )
    def test_an_invalid_one_is_rejected(self, text, odd):
        assert text in ENTRY
        spec = Raw(ENTRY.replace(text, odd).encode())
        with pytest.raises(UnreadableObject):
            decode_leaf("x", spec)

    # Guards against an entry of another writer that moves a leaf to another
    # service, whose requests then run there.
    @pytest.mark.parametrize(
        "field",
        [
            '"service":"one",',
            '"address":"10.0.0.1:80",',
            '"zone":"a",',
            '"state":"ready",',
            '"cold-remaining-ms":0,',
            '"sequence":1,',
            '"slots":3,',
            '"version":"v1",',
        ],
    )
    def test_an_entry_without_a_field_is_rejected(self, field):
        assert field in ENTRY
        with pytest.raises(UnreadableObject):
            decode_leaf("x", Raw(ENTRY.replace(field, "").encode()))

    @by_label
    def test_unreadable_specs_are_rejected(self, spec):
        with pytest.raises(UnreadableObject):
            decode_leaf("x", Raw(spec))
        assert decode_instance("x", Raw(spec)) is None
        assert decode_quarantine("x", Raw(spec), 0.0) is None

    def test_a_quarantine_with_a_huge_time_is_rejected(self):
        spec = Raw(b'{"since-ms":1' + b"0" * 400 + b"}")
        assert decode_quarantine("x", spec, 0.0) is None
