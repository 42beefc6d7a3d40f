"""Reads the accepted configuration document from the platform."""

from dataclasses import dataclass

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import ConfigHead
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import StoredSection
from heatherdyke.errors import LaggingRead
from heatherdyke.errors import UnreadableObject
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.client import convert_value
from heatherdyke.objects.store import ObjectStore


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The head with the version of its platform object."""

    head: ConfigHead
    object_version: int = ABSENT_VERSION


class DocumentReader:
    """Reads the head and sections; caches the immutable section objects."""

    __slots__ = ("_platform", "_section_by_key")

    def __init__(self, platform: ObjectStore) -> None:
        self._platform = platform
        self._section_by_key: dict[str, StoredSection] = {}

    async def read_head(self) -> StoredHead:
        """Return the head, or an empty one if none is stored yet.

        Raises PlatformUnavailable or UnreadableObject.
        """
        stored = await self._platform.get(HEAD_KEY)
        if stored is None:
            return StoredHead(ConfigHead())
        try:
            head = convert_value(stored, ConfigHead)
        except msgspec.MsgspecError as error:
            raise UnreadableObject(HEAD_KEY, str(error)) from error
        return StoredHead(head, stored.version)

    async def read_section_object(self, key: str) -> StoredSection | None:
        """Return the section object, or None if it does not exist.

        Raises PlatformUnavailable or UnreadableObject.
        """
        if key not in self._section_by_key:
            stored = await self._platform.get(key)
            if stored is None:
                return None
            try:
                section = decode(encode(stored.value), StoredSection)
            except msgspec.MsgspecError as error:
                raise UnreadableObject(key, str(error)) from error
            self._section_by_key[key] = section
        return self._section_by_key[key]

    async def read_section(self, key: str) -> SectionConfig | None:
        """Return the section in the object, or None if it does not exist.

        Raises PlatformUnavailable or UnreadableObject.
        """
        stored = await self.read_section_object(key)
        if stored is None:
            return None
        try:
            return decode(stored.section, SectionConfig)
        except msgspec.MsgspecError as error:
            raise UnreadableObject(key, str(error)) from error

    async def read_document(
        self, head: ConfigHead, excluded_team: str
    ) -> ConfigDocument:
        """Return the document of ``head`` without ``excluded_team``.

        Raises PlatformUnavailable, UnreadableObject, or LaggingRead if the
        object of a section cannot be found.
        """
        section_by_team = {}
        for team, pointer in sorted(head.section_by_team.items()):
            if pointer.removed or team == excluded_team:
                continue
            section = await self.read_section(pointer.object_key)
            if section is None:
                raise LaggingRead(pointer.object_key)
            section_by_team[team] = section
        return ConfigDocument(head.version, section_by_team)
