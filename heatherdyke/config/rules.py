"""The validation rules for sections and for the whole document.

A rule yields one violation for each value that does not satisfy it.
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


class Violation(NamedTuple):
    """The path and value that violate a rule, and the remedy."""

    path: str
    value: Any
    remedy: str


class TeamViolation(NamedTuple):
    """A violation of a document rule, attributed to one team."""

    team: str
    violation: Violation


SectionRule = Callable[[SectionConfig], Iterator[Violation]]
DocumentRule = Callable[[ConfigDocument], Iterator[TeamViolation]]
section_rules: Registry[SectionRule] = Registry("section rule")
document_rules: Registry[DocumentRule] = Registry("document rule")


@section_rules.register("name-form")
def _check_names(section: SectionConfig) -> Iterator[Violation]:
    remedy = (
        "use at most 127 letters, digits, '.', '_', ':' or '-', starting "
        "with a letter or digit"
    )
    named_paths = [("team", section.team)]
    named_paths += [(f"services.{n}", n) for n in section.services]
    named_paths += [(f"leaves.{n}", n) for n in section.leaves]
    named_paths += [(f"urgency.{n}", n) for n in section.urgency]
    named_paths += [
        (f"leaves.{n}.zone", leaf.zone) for n, leaf in section.leaves.items()
    ]
    for name, service in section.services.items():
        named_paths.append((f"services.{name}.index", service.index))
        named_paths += [
            (f"services.{name}.shards.{n}", n) for n in service.shards
        ]
    for path, name in named_paths:
        if not NAME_PATTERN.fullmatch(name):
            yield Violation(path, name, remedy)


@section_rules.register("leaf-address")
def _check_addresses(section: SectionConfig) -> Iterator[Violation]:
    for leaf_id, leaf in section.leaves.items():
        try:
            split_address(leaf.address)
        except ValueError:
            yield Violation(
                f"leaves.{leaf_id}.address",
                leaf.address,
                "use an IP address and port, such as 127.0.0.1:8080",
            )


@section_rules.register("positive-number")
def _check_numbers(section: SectionConfig) -> Iterator[Violation]:
    for path, value in _positive_numbers(section):
        if not (isfinite(value) and value > 0):
            yield Violation(path, value, "use a number greater than 0")


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
def _check_cold_slots(section: SectionConfig) -> Iterator[Violation]:
    for leaf_id, leaf in section.leaves.items():
        if leaf.cold_slots > leaf.slots:
            yield Violation(
                f"leaves.{leaf_id}.cold_slots",
                leaf.cold_slots,
                f"use at most the leaf's {leaf.slots} slots",
            )


@section_rules.register("shard-leaves")
def _check_shards(section: SectionConfig) -> Iterator[Violation]:
    for name, service in section.services.items():
        if not service.shards:
            path = f"services.{name}.shards"
            yield Violation(path, {}, "add at least one shard")
        for shard, config in service.shards.items():
            path = f"services.{name}.shards.{shard}.leaves"
            yield from _check_replicas(section, path, config.leaves)


def _check_replicas(
    section: SectionConfig, path: str, leaves: list[str]
) -> Iterator[Violation]:
    if not leaves:
        yield Violation(path, leaves, "add at least one leaf")
    for index, leaf_id in enumerate(leaves):
        replica_path = f"{path}.{index}"
        if leaf_id not in section.leaves:
            yield Violation(
                replica_path, leaf_id, f"declare {leaf_id!r} under leaves"
            )
        if leaf_id in leaves[:index]:
            yield Violation(replica_path, leaf_id, "remove the duplicate")


@section_rules.register("run-once-index")
def _check_run_once(section: SectionConfig) -> Iterator[Violation]:
    """Require that a run-once service does not share its index.

    A search of an index must not reach leaves whose slots are reserved for
    requests that must not be repeated.
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
            yield Violation(
                f"services.{name}.index",
                service.index,
                f"service {others[0]!r} uses this index too: use separate "
                "indexes",
            )


@section_rules.register("urgency-class")
def _check_urgency(section: SectionConfig) -> Iterator[Violation]:
    for name, urgency in section.urgency.items():
        path = f"urgency.{name}"
        if not 0 <= urgency.priority <= MAX_PRIORITY:
            yield Violation(
                f"{path}.priority",
                urgency.priority,
                f"use a number from 0 (served first) to {MAX_PRIORITY}",
            )
        if urgency.deadline_ms > MAX_DEADLINE_MS:
            yield Violation(
                f"{path}.deadline_ms",
                urgency.deadline_ms,
                f"use at most {MAX_DEADLINE_MS}",
            )
        if not 0 <= urgency.wanted_coverage <= 1:
            yield Violation(
                f"{path}.wanted_coverage",
                urgency.wanted_coverage,
                "use a number from 0 to 1",
            )


@section_rules.register("key-hash")
def _check_key_hashes(section: SectionConfig) -> Iterator[Violation]:
    for index, digest in enumerate(section.key_hashes):
        path = f"key_hashes.{index}"
        if not HASH_PATTERN.fullmatch(digest):
            remedy = "use the key's SHA-256 as 64 lower-case hex digits"
            yield Violation(path, digest, remedy)
        elif digest in section.key_hashes[:index]:
            yield Violation(path, digest, "remove the duplicate")


@section_rules.register("section-size")
def _check_size(section: SectionConfig) -> Iterator[Violation]:
    size = len(encode(section))
    if size > MAX_SECTION_BYTES:
        yield Violation(
            "", f"{size} bytes", f"use at most {MAX_SECTION_BYTES} bytes"
        )


@document_rules.register("leaf-unique")
def _check_leaf_ids(document: ConfigDocument) -> Iterator[TeamViolation]:
    yield from _check_unique(
        document, "leaf", lambda s: [(f"leaves.{n}", n) for n in s.leaves]
    )


@document_rules.register("address-unique")
def _check_leaf_addresses(document: ConfigDocument) -> Iterator[TeamViolation]:
    yield from _check_unique(
        document,
        "address",
        lambda s: [
            (f"leaves.{n}.address", leaf.address)
            for n, leaf in s.leaves.items()
        ],
    )


@document_rules.register("service-unique")
def _check_services(document: ConfigDocument) -> Iterator[TeamViolation]:
    yield from _check_unique(
        document,
        "service",
        lambda s: [(f"services.{n}", n) for n in s.services],
    )


@document_rules.register("key-unique")
def _check_keys(document: ConfigDocument) -> Iterator[TeamViolation]:
    yield from _check_unique(
        document,
        "key",
        lambda s: [
            (f"key_hashes.{i}", digest)
            for i, digest in enumerate(dict.fromkeys(s.key_hashes))
        ],
    )


@document_rules.register("index-owner")
def _check_indexes(document: ConfigDocument) -> Iterator[TeamViolation]:
    teams_by_index: dict[str, set[str]] = defaultdict(set)
    for team, section in document.section_by_team.items():
        for service in section.services.values():
            teams_by_index[service.index].add(team)
    for team, section in document.section_by_team.items():
        for name, service in section.services.items():
            others = sorted(teams_by_index[service.index] - {team})
            if others:
                remedy = f"team {others[0]!r} uses this index too: rename it"
                path = f"services.{name}.index"
                yield TeamViolation(
                    team, Violation(path, service.index, remedy)
                )


@document_rules.register("reader-known")
def _check_readers(document: ConfigDocument) -> Iterator[TeamViolation]:
    for team, section in document.section_by_team.items():
        for index, reader in enumerate(section.readers):
            if reader not in document.section_by_team:
                remedy = "use a team that has a section"
                path = f"readers.{index}"
                yield TeamViolation(team, Violation(path, reader, remedy))


def _check_unique(
    document: ConfigDocument,
    subject: str,
    values_of: Callable[[SectionConfig], list[tuple[str, str]]],
) -> Iterator[TeamViolation]:
    first_by_value: dict[str, tuple[str, str]] = {}
    for team, section in sorted(document.section_by_team.items()):
        for path, value in values_of(section):
            other = first_by_value.setdefault(value, (team, path))
            if other == (team, path):
                continue
            remedy = (
                f"team {other[0]!r} uses this {subject} too, at {other[1]}"
            )
            yield TeamViolation(
                team, Violation(path, value, f"{remedy}: use another")
            )
