"""The protocol by which an edit of one section is committed.

The editor writes the section to an immutable object whose key contains the
edit's nonce, validates the whole document, and then makes a conditional
update of the head object that points to the new section object.  The edit
is accepted if and only if this update takes effect.  If a reply is lost,
the head and the chain of ``base_edit`` links show whether the edit was
accepted, so that every step is safe to retry.
"""

from dataclasses import dataclass
from dataclasses import replace

import msgspec

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.config.document_reader import DocumentReader
from heatherdyke.config.document_reader import StoredHead
from heatherdyke.config.edit_retry import EditRetry
from heatherdyke.config.model import HEAD_KEY
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import SectionPointer
from heatherdyke.config.model import StoredSection
from heatherdyke.config.model import section_key
from heatherdyke.config.validation import check_document
from heatherdyke.config.validation import check_rules
from heatherdyke.errors import ConfigInvalid
from heatherdyke.errors import EditConflict
from heatherdyke.errors import EditExpired
from heatherdyke.errors import EditReused
from heatherdyke.errors import EditUnresolved
from heatherdyke.errors import LaggingRead
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.errors import VersionConflict
from heatherdyke.objects.client import ABSENT_VERSION
from heatherdyke.objects.store import ObjectStore

MAX_EDIT_S = 600.0
NO_SECTION = SectionPointer(0, "", "")
REMOVED = msgspec.Raw(b"null")


@dataclass(frozen=True, slots=True)
class SectionEdit:
    """One edit of one team's section.

    ``section`` is None to remove the section.  ``edit`` is the edit's nonce.
    ``base_version`` is the section version that the edit is based on: 0 if
    there was no section, None for the version that is current when the edit
    starts.  ``written_at`` is wall time in seconds.
    """

    team: str
    section: SectionConfig | None
    edit: str
    editor: str
    written_at: float
    base_version: int | None = None


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The result of an accepted edit.

    ``unchanged`` is set if the current section was equal already; ``edit``
    and ``version`` are then those of the current section.  ``superseded_by``
    is the section's newest edit if that is a later one, and ``version`` is
    then the version of the newest edit.
    """

    team: str
    edit: str
    version: int
    unchanged: bool = False
    superseded_by: str = ""


class SectionEditor:
    """Runs the edit protocol for one edit."""

    __slots__ = (
        "_platform",
        "_reader",
        "_edit",
        "_retry",
        "_started_at",
        "_base",
        "_newest_head_version",
        "_may_be_accepted",
        "_earlier_attempt_age_s",
    )

    def __init__(
        self, platform: ObjectStore, edit: SectionEdit, retry: EditRetry
    ) -> None:
        self._platform = platform
        self._reader = DocumentReader(platform)
        self._edit = edit
        self._retry = retry
        self._started_at = retry.now()
        self._base: SectionPointer | None = None
        self._newest_head_version = ABSENT_VERSION
        self._may_be_accepted = False
        self._earlier_attempt_age_s = 0.0

    async def apply(self) -> Acceptance:
        """Apply the edit; safe to repeat with the same nonce.

        Raises ConfigInvalid, EditConflict, EditReused or EditExpired if the
        edit was not accepted, UnreadableObject if the head or a section
        cannot be decoded, and EditUnresolved if the outcome is unknown.
        """
        reason = ""
        for attempt in range(self._retry.max_attempts):
            try:
                return await self._try_once()
            except (PlatformUnavailable, VersionConflict, LaggingRead) as e:
                reason = e.detail
            await self._retry.wait(attempt)
        raise EditUnresolved(self._edit.edit, reason)

    @property
    def _object_key(self) -> str:
        return section_key(self._edit.team, self._edit.edit)

    async def _try_once(self) -> Acceptance:
        await self._resume_earlier_attempt()
        stored = await self._read_head()
        current = stored.head.section_by_team.get(self._edit.team, NO_SECTION)
        accepted = await self._find_acceptance(current)
        if accepted is not None:
            return accepted
        if await self._is_unchanged(current):
            await self._put_head(stored.head, stored)
            return Acceptance(
                self._edit.team, current.edit, current.version, unchanged=True
            )
        self._set_or_check_base(current)
        await self._check(stored)
        await self._write_section()
        return await self._accept(stored)

    async def _resume_earlier_attempt(self) -> None:
        """Restore the base from an earlier attempt with the same nonce."""
        if self._base is not None:
            return
        existing = await self._reader.read_section_object(self._object_key)
        if existing is not None:
            self._resume_from(existing)

    def _resume_from(self, existing: StoredSection) -> None:
        if (
            decode(existing.section, SectionConfig | None)
            != self._edit.section
        ):
            raise EditReused(self._edit.edit)
        self._earlier_attempt_age_s = (
            self._edit.written_at - existing.written_at
        )
        self._base = SectionPointer(
            existing.base_version, "", existing.base_edit
        )
        self._may_be_accepted = True

    async def _read_head(self) -> StoredHead:
        stored = await self._reader.read_head()
        if stored.object_version < self._newest_head_version:
            raise LaggingRead(HEAD_KEY)
        self._newest_head_version = stored.object_version
        return stored

    async def _find_acceptance(
        self, current: SectionPointer
    ) -> Acceptance | None:
        """Search the edits from ``current`` back to the base for this edit.

        Each section object names the edit that it is based on.  Raises
        LaggingRead if one of the objects cannot be found.
        """
        team, own_edit = self._edit.team, self._edit.edit
        if current.edit == own_edit:
            return Acceptance(team, own_edit, current.version)
        if not self._may_be_accepted or current.version < self._base.version:
            return None
        edit = current.edit
        while edit != self._base.edit:
            stored = await self._reader.read_section_object(
                section_key(team, edit)
            )
            if stored is None:
                raise LaggingRead(section_key(team, edit))
            if stored.base_edit == own_edit:
                return Acceptance(
                    team, own_edit, current.version, superseded_by=current.edit
                )
            edit = stored.base_edit
        return None

    async def _is_unchanged(self, current: SectionPointer) -> bool:
        if current.removed or self._may_be_accepted:
            return current.removed and self._edit.section is None
        stored = await self._reader.read_section_object(current.object_key)
        if stored is None:
            return False
        try:
            section = decode(stored.section, SectionConfig)
        except msgspec.MsgspecError:
            return False
        return section == self._edit.section

    def _set_or_check_base(self, current: SectionPointer) -> None:
        """Set the base to ``current`` after a check of its version.

        Raises EditConflict if the section is newer than the base, and
        LaggingRead if it is older.
        """
        if self._base is not None:
            expected_version = self._base.version
        elif self._edit.base_version is not None:
            expected_version = self._edit.base_version
        else:
            expected_version = current.version
        if current.version > expected_version:
            subject = f"section {self._edit.team!r}"
            raise EditConflict(
                subject, current.version, current.edit, current.editor
            )
        if current.version < expected_version:
            raise LaggingRead(HEAD_KEY)
        self._base = current

    async def _check(self, stored: StoredHead) -> None:
        """Validate the section and the document; raises ConfigInvalid.

        Faults that the other sections already have do not block the edit.
        """
        if self._edit.section is None:
            return
        before = await self._reader.read_document(stored.head, self._edit.team)
        after = ConfigDocument(
            stored.head.version + 1,
            before.section_by_team | {self._edit.team: self._edit.section},
        )
        existing_faults = check_document(before)
        faults = check_rules(self._edit.section)
        faults += [
            f for f in check_document(after) if f not in existing_faults
        ]
        if faults:
            raise ConfigInvalid(faults)

    async def _write_section(self) -> None:
        section = self._edit.section
        body = REMOVED if section is None else msgspec.Raw(encode(section))
        value = StoredSection(
            team=self._edit.team,
            edit=self._edit.edit,
            editor=self._edit.editor,
            base_edit=self._base.edit,
            base_version=self._base.version,
            written_at=self._edit.written_at,
            section=body,
        )
        try:
            await self._platform.put(self._object_key, value, ABSENT_VERSION)
        except VersionConflict:
            await self._check_existing_object(value)

    async def _check_existing_object(self, value: StoredSection) -> None:
        existing = await self._reader.read_section_object(self._object_key)
        if existing is None:
            raise LaggingRead(self._object_key)
        self._resume_from(existing)
        if existing.base_edit != value.base_edit:
            raise LaggingRead(self._object_key)

    async def _accept(self, stored: StoredHead) -> Acceptance:
        """Update the head unless the edit is older than MAX_EDIT_S.

        Garbage collection relies on this limit: it removes only objects of
        edits that can no longer be accepted.
        """
        if (
            self._earlier_attempt_age_s + self._retry.now() - self._started_at
            > MAX_EDIT_S
        ):
            raise EditExpired(self._edit.edit, MAX_EDIT_S)
        version = stored.head.version + 1
        removed = self._edit.section is None
        pointer = SectionPointer(
            version=version,
            object_key="" if removed else self._object_key,
            edit=self._edit.edit,
            editor=self._edit.editor,
        )
        section_by_team = stored.head.section_by_team
        head = replace(
            stored.head,
            version=version,
            section_by_team=section_by_team | {self._edit.team: pointer},
        )
        self._may_be_accepted = True
        await self._put_head(head, stored)
        return Acceptance(self._edit.team, self._edit.edit, version)

    async def _put_head(self, head: object, stored: StoredHead) -> None:
        try:
            await self._platform.put(HEAD_KEY, head, stored.object_version)
        except VersionConflict as error:
            self._newest_head_version = max(
                self._newest_head_version, error.current_version
            )
            raise
