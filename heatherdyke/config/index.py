"""Indexes of a configuration document, built once per document."""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.component import ConfigView
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import SectionConfig


@dataclass(frozen=True, slots=True)
class ConfigIndex:
    """A document with its leaves and sections by key.

    ``max_run_s_by_leaf`` is the longest run deadline in seconds of the
    run-once services that each leaf belongs to.
    """

    document: ConfigDocument
    leaf_by_id: dict[str, LeafConfig] = field(default_factory=dict)
    section_by_service: dict[str, SectionConfig] = field(default_factory=dict)
    max_run_s_by_leaf: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_document(cls, document: ConfigDocument) -> "ConfigIndex":
        """Build the index of a document."""
        section_by_service = {
            service: section
            for section in document.section_by_team.values()
            for service in section.services
        }
        return cls(
            document,
            document.leaf_by_id,
            section_by_service,
            _run_s_by_leaf(document),
        )


class ConfigIndexCache:
    """Caches the index of the active document."""

    __slots__ = ("_config", "_index")

    def __init__(self, config: ConfigView) -> None:
        self._config = config
        self._index = ConfigIndex.from_document(ConfigDocument())

    def current(self) -> ConfigIndex:
        """Return the index of the active document."""
        document = self._config.document
        if document is not self._index.document:
            self._index = ConfigIndex.from_document(document)
        return self._index


def _run_s_by_leaf(document: ConfigDocument) -> dict[str, float]:
    """Return the longest run deadline by leaf, for run-once services."""
    max_run_s_by_leaf: dict[str, float] = {}
    for section in document.section_by_team.values():
        for service in section.services.values():
            if not service.run_once:
                continue
            run_s = service.run_deadline_ms / 1000
            for shard in service.shards.values():
                for leaf_id in shard.leaves:
                    longest_s = max_run_s_by_leaf.get(leaf_id, 0.0)
                    max_run_s_by_leaf[leaf_id] = max(longest_s, run_s)
    return max_run_s_by_leaf
