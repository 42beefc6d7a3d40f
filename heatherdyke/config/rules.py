"""The rules that sections and the whole document must meet.

A rule yields ``(path, value, remedy)`` for each breach.
"""

import re
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from math import isfinite
from typing import Any
from typing import NamedTuple

from heatherdyke.codec import encode
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import RunOnceMode
from heatherdyke.config.model import SectionConfig
from heatherdyke.net.address import split_address
from heatherdyke.registry import Registry

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,126}")
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_SECTION_BYTES = 900 * 1024
MAX_DEADLINE_MS = 600_000
MAX_PRIORITY = 100


class Breach(NamedTuple):
    """Where a rule is broken, by which value, and the remedy."""

    path: str
    value: Any
    remedy: str


class TeamBreach(NamedTuple):
    """A breach of a rule over all sections, told to one team."""

    team: str
    breach: Breach


SectionRule = Callable[[SectionConfig], Iterator[Breach]]
DocumentRule = Callable[[ConfigDocument], Iterator[TeamBreach]]
section_rules: Registry[SectionRule] = Registry("section rule")
document_rules: Registry[DocumentRule] = Registry("document rule")


@section_rules.register("name-form")
def _check_names(section: SectionConfig) -> Iterator[Breach]:
    remedy = "use letters, digits, '.', '_', ':' or '-', at most 127"
    places = [("team", section.team)]
    places += [(f"services.{n}", n) for n in section.services]
    places += [(f"leaves.{n}", n) for n in section.leaves]
    places += [(f"urgency.{n}", n) for n in section.urgency]
    places += [
        (f"leaves.{n}.zone", leaf.zone) for n, leaf in section.leaves.items()
    ]
    for name, service in section.services.items():
        places.append((f"services.{name}.index", service.index))
        places += [(f"services.{name}.shards.{n}", n) for n in service.shards]
    for path, name in places:
        if not NAME_PATTERN.fullmatch(name):
            yield Breach(path, name, remedy)


@section_rules.register("leaf-address")
def _check_addresses(section: SectionConfig) -> Iterator[Breach]:
    for leaf_id, leaf in section.leaves.items():
        try:
            split_address(leaf.address)
        except ValueError:
            yield Breach(
                f"leaves.{leaf_id}.address",
                leaf.address,
                "write an IP number and port, as 127.0.0.1:8080",
            )


@section_rules.register("positive-number")
def _check_numbers(section: SectionConfig) -> Iterator[Breach]:
    for path, value in _positive_numbers(section):
        if not (isfinite(value) and value > 0):
            yield Breach(path, value, "give a number greater than 0")


def _positive_numbers(section: SectionConfig) -> Iterator[tuple[str, float]]:
    for leaf_id, leaf in section.leaves.items():
        for name in ("slots", "connections", "cold_slots", "cold_searches"):
            yield f"leaves.{leaf_id}.{name}", getattr(leaf, name)
    for name, service in section.services.items():
        yield f"services.{name}.run_deadline_ms", service.run_deadline_ms
        for shard, config in service.shards.items():
            yield f"services.{name}.shards.{shard}.weight", config.weight
    for name, urgency in section.urgency.items():
        yield f"urgency.{name}.deadline_ms", urgency.deadline_ms
    if section.spending is not None:
        spending = section.spending
        yield "spending.leaf_searches_per_s", spending.leaf_searches_per_s
        yield "spending.burst", spending.burst


@section_rules.register("cold-slots")
def _check_cold_slots(section: SectionConfig) -> Iterator[Breach]:
    for leaf_id, leaf in section.leaves.items():
        if leaf.cold_slots > leaf.slots:
            yield Breach(
                f"leaves.{leaf_id}.cold_slots",
                leaf.cold_slots,
                f"give at most the leaf's {leaf.slots} slots",
            )


@section_rules.register("shard-leaves")
def _check_shards(section: SectionConfig) -> Iterator[Breach]:
    for name, service in section.services.items():
        if not service.shards:
            path = f"services.{name}.shards"
            yield Breach(path, {}, "declare at least one shard")
        for shard, config in service.shards.items():
            path = f"services.{name}.shards.{shard}.leaves"
            yield from _check_replicas(section, path, config.leaves)


def _check_replicas(
    section: SectionConfig, path: str, leaves: list[str]
) -> Iterator[Breach]:
    if not leaves:
        yield Breach(path, leaves, "name at least one leaf")
    for index, leaf_id in enumerate(leaves):
        place = f"{path}.{index}"
        if leaf_id not in section.leaves:
            yield Breach(place, leaf_id, f"declare {leaf_id!r} under leaves")
        if leaf_id in leaves[:index]:
            yield Breach(place, leaf_id, "name each replica once")


@section_rules.register("run-once-index")
def _check_run_once(section: SectionConfig) -> Iterator[Breach]:
    """Let an index hold either one run-once service or searched ones.

    A search of an index must not reach leaves that keep their slots for
    requests that may not be repeated.
    """
    services = section.services
    for name, service in services.items():
        if service.run_once is RunOnceMode.NONE:
            continue
        others = [
            other
            for other in services
            if other != name and services[other].index == service.index
        ]
        if others:
            yield Breach(
                f"services.{name}.index",
                service.index,
                f"service {others[0]!r} has it too: give each its own",
            )


@section_rules.register("urgency-class")
def _check_urgency(section: SectionConfig) -> Iterator[Breach]:
    for name, urgency in section.urgency.items():
        path = f"urgency.{name}"
        if not 0 <= urgency.priority <= MAX_PRIORITY:
            yield Breach(
                f"{path}.priority",
                urgency.priority,
                f"give 0 (first) to {MAX_PRIORITY}",
            )
        if urgency.deadline_ms > MAX_DEADLINE_MS:
            yield Breach(
                f"{path}.deadline_ms",
                urgency.deadline_ms,
                f"give at most {MAX_DEADLINE_MS}",
            )
        if not 0 <= urgency.wanted_coverage <= 1:
            yield Breach(
                f"{path}.wanted_coverage",
                urgency.wanted_coverage,
                "give a share from 0 to 1",
            )


@section_rules.register("key-hash")
def _check_key_hashes(section: SectionConfig) -> Iterator[Breach]:
    for index, digest in enumerate(section.key_hashes):
        path = f"key_hashes.{index}"
        if not HASH_PATTERN.fullmatch(digest):
            remedy = "write the key's SHA-256 as 64 lower-case hex digits"
            yield Breach(path, digest, remedy)
        elif digest in section.key_hashes[:index]:
            yield Breach(path, digest, "name each key once")


@section_rules.register("section-size")
def _check_size(section: SectionConfig) -> Iterator[Breach]:
    size = len(encode(section))
    if size > MAX_SECTION_BYTES:
        yield Breach(
            "", f"{size} bytes", f"keep it under {MAX_SECTION_BYTES} bytes"
        )


@document_rules.register("leaf-unique")
def _check_leaf_ids(document: ConfigDocument) -> Iterator[TeamBreach]:
    yield from _check_unique(
        document, "leaf", lambda s: [(f"leaves.{n}", n) for n in s.leaves]
    )


@document_rules.register("address-unique")
def _check_leaf_addresses(document: ConfigDocument) -> Iterator[TeamBreach]:
    yield from _check_unique(
        document,
        "address",
        lambda s: [
            (f"leaves.{n}.address", leaf.address)
            for n, leaf in s.leaves.items()
        ],
    )


@document_rules.register("service-unique")
def _check_services(document: ConfigDocument) -> Iterator[TeamBreach]:
    yield from _check_unique(
        document,
        "service",
        lambda s: [(f"services.{n}", n) for n in s.services],
    )


@document_rules.register("key-unique")
def _check_keys(document: ConfigDocument) -> Iterator[TeamBreach]:
    yield from _check_unique(
        document,
        "key",
        lambda s: [
            (f"key_hashes.{i}", digest)
            for i, digest in enumerate(dict.fromkeys(s.key_hashes))
        ],
    )


@document_rules.register("index-owner")
def _check_indexes(document: ConfigDocument) -> Iterator[TeamBreach]:
    owners: dict[str, set[str]] = defaultdict(set)
    for team, section in document.section_by_team.items():
        for service in section.services.values():
            owners[service.index].add(team)
    for team, section in document.section_by_team.items():
        for name, service in section.services.items():
            others = sorted(owners[service.index] - {team})
            if others:
                remedy = f"index belongs to {others[0]!r} too: rename it"
                path = f"services.{name}.index"
                yield TeamBreach(team, Breach(path, service.index, remedy))


@document_rules.register("reader-known")
def _check_readers(document: ConfigDocument) -> Iterator[TeamBreach]:
    for team, section in document.section_by_team.items():
        for index, reader in enumerate(section.readers):
            if reader not in document.section_by_team:
                remedy = "name a team that has a section"
                path = f"readers.{index}"
                yield TeamBreach(team, Breach(path, reader, remedy))


def _check_unique(
    document: ConfigDocument,
    subject: str,
    places_of: Callable[[SectionConfig], list[tuple[str, str]]],
) -> Iterator[TeamBreach]:
    first_by_value: dict[str, tuple[str, str]] = {}
    for team, section in sorted(document.section_by_team.items()):
        for path, value in places_of(section):
            other = first_by_value.setdefault(value, (team, path))
            if other == (team, path):
                continue
            remedy = f"{subject} stands in {other[0]!r} at {other[1]} too"
            yield TeamBreach(
                team, Breach(path, value, f"{remedy}: use another")
            )
