"""Look-ups over a configuration document, built once for each document."""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.component import ConfigView
from heatherdyke.config_model import ConfigDocument
from heatherdyke.config_model import LeafConfig
from heatherdyke.config_model import SectionConfig


@dataclass(frozen=True, slots=True)
class ConfigIndex:
    """A document with its leaves by id and its sections by service."""

    document: ConfigDocument
    leaf_by_id: dict[str, LeafConfig] = field(default_factory=dict)
    section_by_service: dict[str, SectionConfig] = field(default_factory=dict)

    @classmethod
    def from_document(cls, document: ConfigDocument) -> "ConfigIndex":
        """Return the look-ups of a document."""
        section_by_service = {
            service: section
            for section in document.section_by_team.values()
            for service in section.services
        }
        return cls(document, document.leaf_by_id, section_by_service)


class ConfigIndexCache:
    """Keeps the index of the document in force."""

    __slots__ = ("_config", "_index")

    def __init__(self, config: ConfigView) -> None:
        self._config = config
        self._index = ConfigIndex.from_document(ConfigDocument())

    def current(self) -> ConfigIndex:
        """Return the index of the document now in force."""
        document = self._config.document
        if document is not self._index.document:
            self._index = ConfigIndex.from_document(document)
        return self._index
