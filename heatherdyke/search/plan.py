"""Validates searches and finds their shards and leaves (pure)."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from heatherdyke.config.index import ConfigIndex
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import UrgencyConfig
from heatherdyke.messages import SearchRequest
from heatherdyke.request_errors import Forbidden
from heatherdyke.request_errors import InvalidRequest
from heatherdyke.request_errors import UnknownService

MAX_LIMIT = 1000
MAX_DEADLINE_MS = 600_000
DEFAULT_URGENCY = UrgencyConfig(priority=5)


@dataclass(frozen=True, slots=True)
class SearchPlan:
    """A validated search: its index, urgency class and shards.

    Shards are keyed by their qualified id, ``service/shard``.
    """

    index: str
    urgency: UrgencyConfig
    deadline_s: float
    wanted_coverage: float
    weight_by_shard: dict[str, float]
    leaves_by_shard: dict[str, list[str]] = field(default_factory=dict)


def plan_search(
    config: ConfigIndex, team: str, request: SearchRequest
) -> SearchPlan:
    """Return the plan of a team's search.

    Raises InvalidRequest, UnknownService or Forbidden.
    """
    _check_request(request)
    sections = [
        _find_section(config, team, service) for service in request.services
    ]
    services = [
        section.services[name]
        for section, name in zip(sections, request.services, strict=True)
    ]
    indexes = {service.index for service in services}
    if len(indexes) != 1:
        raise InvalidRequest(
            f"the services belong to the indexes {sorted(indexes)}",
            "search services of one index at a time",
        )
    urgency = _find_urgency(
        config.document.section_by_team[team], request.urgency
    )
    weight_by_shard = {}
    leaves_by_shard = {}
    for name, service in zip(request.services, services, strict=True):
        for shard, shard_config in service.shards.items():
            weight_by_shard[f"{name}/{shard}"] = shard_config.weight
            leaves_by_shard[f"{name}/{shard}"] = shard_config.leaves
    deadline_ms = request.deadline_ms or urgency.deadline_ms
    coverage = request.wanted_coverage
    return SearchPlan(
        indexes.pop(),
        urgency,
        deadline_ms / 1000,
        urgency.wanted_coverage if coverage is None else coverage,
        weight_by_shard,
        leaves_by_shard,
    )


def filter_eligible_leaves(
    config: ConfigIndex,
    leaves: list[str],
    zone_is_out: Callable[[str], bool],
) -> list[str]:
    """Return the leaves that are declared and not in a zone taken out."""
    leaf_by_id = config.leaf_by_id
    return [
        leaf
        for leaf in leaves
        if leaf in leaf_by_id and not zone_is_out(leaf_by_id[leaf].zone)
    ]


def find_child_leaves(
    config: ConfigIndex, service: str, child: str
) -> list[str]:
    """Return the leaves of a child shard, or none if it is not declared."""
    section = config.section_by_service.get(service)
    if section is None:
        return []
    shard = section.services[service].shards.get(child)
    return shard.leaves if shard is not None else []


def _check_request(request: SearchRequest) -> None:
    if not request.services:
        raise InvalidRequest(
            "the search names no service", "name at least one"
        )
    if len(set(request.services)) != len(request.services):
        raise InvalidRequest(
            f"services {request.services} has duplicates", "name each once"
        )
    if not 0 < request.limit <= MAX_LIMIT:
        raise InvalidRequest(
            f"limit {request.limit} is out of range",
            f"request 1 to {MAX_LIMIT} items",
        )
    deadline_ms = request.deadline_ms
    if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise InvalidRequest(
            f"deadline_ms {deadline_ms} is out of range",
            f"give 1 to {MAX_DEADLINE_MS}",
        )
    coverage = request.wanted_coverage
    if coverage is not None and not 0 <= coverage <= 1:
        raise InvalidRequest(
            f"wanted_coverage {coverage} is out of range", "give 0 to 1"
        )


def _find_section(
    config: ConfigIndex, team: str, service: str
) -> SectionConfig:
    section = config.section_by_service.get(service)
    if section is None:
        raise UnknownService(
            f"service {service!r} is not declared",
            "use a service that a section of the configuration declares",
        )
    if team != section.team and team not in section.readers:
        raise Forbidden(
            f"team {team!r} may not search service {service!r}",
            f"ask team {section.team!r} to add you to its readers",
        )
    return section


def _find_urgency(section: SectionConfig, name: str) -> UrgencyConfig:
    if name in section.urgency:
        return section.urgency[name]
    if name == "default":
        return DEFAULT_URGENCY
    known = ", ".join(sorted(section.urgency)) or "default"
    raise InvalidRequest(
        f"urgency class {name!r} is not declared", f"use one of {known}"
    )
