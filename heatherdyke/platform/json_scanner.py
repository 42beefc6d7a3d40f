"""Finds values in JSON text without decoding them.

The other values of a text can be read even if one cannot: one with half of a
surrogate pair, with a number that JSON lacks, or nested more deeply than the
decoder follows.  Only strings, brackets and separators are looked at.

The work is done in slices, so that the event loop can run between them.
"""

import re
from collections.abc import Generator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from itertools import accumulate
from time import perf_counter
from typing import TypeVar

T = TypeVar("T")
# Work that yields after each slice and returns its result.
Slices = Generator[None, None, T]

# How long a slice lasts; a chunk of text takes less.
SLICE_S = 0.004
CHUNK_BYTES = 16_384
# Values that so many matches do not pass are skipped by chunks.
FIRST_MATCHES = 32

_STRING = rb'"[^"\\]*+(?:(?:\\.)++[^"\\]*+)*+"'
_COMPLETE_STRING = re.compile(_STRING, re.DOTALL)
_COMPLETE = re.compile(rb'(?:[^"]++|%s)*+' % _STRING, re.DOTALL)
_SPACE = re.compile(rb"\s*+")
# A value's text up to the next bracket or separator.
_FLAT = re.compile(rb'(?:[^"\[\]{},]++|%s)*+' % _STRING, re.DOTALL)
_NAME = re.compile(rb"(%s)\s*+:\s*+" % _STRING, re.DOTALL)
# Text within brackets: up to 256 strings, arrays and objects that hold no
# others, and pieces between them; then brackets of one direction.
_NESTED = re.compile(
    rb'(?:[^"\[\]{}]++|%s|\[[^"\[\]{}]*+\]|\{(?:[^"\[\]{}]++|%s)*+\}){0,256}+'
    rb"(?:([\[{]++)|([\]}]++))?" % (_STRING, _STRING),
    re.DOTALL,
)
_OPENING = frozenset(b"[{")
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
# 1 for an opening bracket, -1 as a signed byte for a closing one.
_STEP_BY_BRACKET = bytes.maketrans(b"[]{}", b"\x01\xff\x01\xff")


@dataclass(slots=True)
class Wanted:
    """The values to find in a value.

    Those of an object are given by name, and ``elements`` states what to find
    in each element of an array.
    """

    member_by_name: Mapping[bytes, "Wanted"] = field(default_factory=dict)
    elements: "Wanted | None" = None


NOTHING = Wanted()


@dataclass(slots=True)
class Found:
    """A value that was found in ``data``, and what was found in it.

    ``elements`` is None unless elements were wanted and it is an array.
    """

    data: bytes
    start: int
    end: int = 0
    member_by_name: dict[bytes, "Found"] = field(default_factory=dict)
    elements: list["Found"] | None = None

    @property
    def text(self) -> bytes:
        """Return the text of the value."""
        return self.data[self.start : self.end].strip()


class JsonScanner:
    """Scans one text from its start to its end."""

    __slots__ = ("_data", "_at", "_slice_ends_at")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0
        self._slice_ends_at = 0.0

    def scan(self, wanted: Wanted) -> Slices[Found]:
        """Return the text's value; raises ValueError if brackets mismatch."""
        self._slice_ends_at = perf_counter() + SLICE_S
        self._skip_space()
        found = yield from self._scan_value(wanted)
        if self._at != len(self._data):
            raise ValueError("text after the value")
        return found

    def _scan_value(self, wanted: Wanted) -> Slices[Found]:
        found = Found(self._data, self._at)
        first = self._data[self._at : self._at + 1]
        if first == b"{" and wanted.member_by_name:
            members = wanted.member_by_name
            yield from self._scan_members(members, found)
            self._skip_space()
        elif first == b"[" and wanted.elements is not None:
            found.elements = yield from self._scan_elements(wanted.elements)
            self._skip_space()
        else:
            yield from self._skip_value()
        found.end = self._at
        return found

    def _scan_members(
        self, wanted_by_name: Mapping[bytes, Wanted], found: Found
    ) -> Slices[None]:
        self._at += 1
        self._skip_space()
        if self._skip(b"}"):
            return
        while True:
            match = _NAME.match(self._data, self._at)
            if match is None:
                raise ValueError("a member is not a name and a value")
            self._at = match.end()
            name = match[1][1:-1]
            wanted = wanted_by_name.get(name)
            member = yield from self._scan_value(wanted or NOTHING)
            if member.start == member.end:
                raise ValueError("a member has no value")
            if wanted is not None:
                found.member_by_name[name] = member
            if self._ends(b"}"):
                return

    def _scan_elements(self, wanted: Wanted) -> Slices[list[Found]]:
        self._at += 1
        self._skip_space()
        elements: list[Found] = []
        if self._skip(b"]"):
            return elements
        while True:
            yield from self._end_slice_if_due()
            elements.append((yield from self._scan_element(wanted)))
            if self._ends(b"]"):
                return elements

    def _scan_element(self, wanted: Wanted) -> Slices[Found]:
        """Scan one element; in a malformed one nothing is found."""
        start = self._at
        try:
            found = yield from self._scan_value(wanted)
            if self._data[self._at : self._at + 1] in (b",", b"]"):
                return found
        except ValueError:
            pass
        self._at = start
        return (yield from self._scan_value(NOTHING))

    def _ends(self, closing: bytes) -> bool:
        """Skip a separator, or the closing bracket and return True."""
        if self._skip(closing):
            return True
        if not self._skip(b","):
            raise ValueError("the brackets do not match")
        self._skip_space()
        return False

    def _skip(self, character: bytes) -> bool:
        is_next = self._data.startswith(character, self._at)
        self._at += is_next
        return is_next

    def _skip_space(self) -> None:
        self._at = _SPACE.match(self._data, self._at).end()

    def _skip_value(self) -> Slices[None]:
        """Skip up to the next separator or closing bracket."""
        data = self._data
        while True:
            self._at = _FLAT.match(data, self._at).end()
            if self._at == len(data) or data[self._at] not in _OPENING:
                return
            self._at += 1
            depth = self._skip_nested(1, FIRST_MATCHES)
            while depth:
                yield from self._end_slice_if_due()
                depth = self._skip_chunk(depth)

    def _end_slice_if_due(self) -> Slices[None]:
        if perf_counter() >= self._slice_ends_at:
            yield
            self._slice_ends_at = perf_counter() + SLICE_S

    def _skip_chunk(self, depth: int) -> int:
        """Skip text within ``depth`` brackets; return the new depth.

        The depth is 0 behind the last of the brackets.
        """
        start = self._at
        end = _COMPLETE.match(self._data, start, start + CHUNK_BYTES).end()
        if end == start:
            # It begins with a string that is longer than a chunk.
            return self._skip_nested(depth, 1)
        depths = _depths_after(self._data[start:end], depth)
        if 0 in depths:
            return self._skip_nested(depth, end - start)
        self._at = end
        return depths[-1]

    def _skip_nested(self, depth: int, matches: int) -> int:
        """Skip as ``_skip_chunk`` does, by that many matches at most."""
        for _ in range(matches):
            match = _NESTED.match(self._data, self._at)
            if match.end() == self._at:
                raise ValueError("a bracket or string does not end")
            self._at = match.end()
            opened, closed = match.span(1), match.span(2)
            depth += opened[1] - opened[0]
            closed_count = closed[1] - closed[0]
            if closed_count >= depth:
                self._at = closed[0] + depth
                return 0
            depth -= closed_count
        return depth


def _depths_after(text: bytes, depth: int) -> list[int]:
    """Return ``depth``, and the depth after each bracket of the text."""
    brackets = _COMPLETE_STRING.sub(b"", text).translate(None, _NOT_BRACKETS)
    steps = memoryview(brackets.translate(_STEP_BY_BRACKET)).cast("b")
    return list(accumulate(steps, initial=depth))
