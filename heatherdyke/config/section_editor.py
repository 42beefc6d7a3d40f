"""The edit protocol: how one section's edit is accepted.

The section goes into an immutable object under the edit's own nonce.  The
edit is accepted when the conditional update of the head takes effect that
points to this object, after the whole document was checked.  Whatever
happens to replies, the head and the chain of ``base_edit`` tell afterwards
if an edit was accepted, so that each step may be repeated.
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

    ``section`` is None to remove it.  ``edit`` is the nonce, ``base_version``
    the section version that the editor looked at (0: no section yet, None:
    whatever is current at the start), and ``written_at`` the wall time.
    """

    team: str
    section: SectionConfig | None
    edit: str
    editor: str
    written_at: float
    base_version: int | None = None


@dataclass(frozen=True, slots=True)
class Acceptance:
    """A section is accepted as edit ``edit`` at ``version``.

    ``unchanged`` tells that an earlier edit had the same text, and
    ``superseded_by`` names the section's newest edit if that is a later one;
    ``version`` is then that edit's.
    """

    team: str
    edit: str
    version: int
    unchanged: bool = False
    superseded_by: str = ""


class SectionEditor:
    """Carries one edit to its acceptance or refusal."""

    __slots__ = (
        "_platform",
        "_reader",
        "_edit",
        "_retry",
        "_start",
        "_base",
        "_seen",
        "_may_be_accepted",
        "_age_s",
    )

    def __init__(
        self, platform: ObjectStore, edit: SectionEdit, retry: EditRetry
    ) -> None:
        self._platform = platform
        self._reader = DocumentReader(platform)
        self._edit = edit
        self._retry = retry
        self._start = retry.now()
        self._base: SectionPointer | None = None
        self._seen = ABSENT_VERSION
        self._may_be_accepted = False
        self._age_s = 0.0

    async def apply(self) -> Acceptance:
        """Apply the edit; safe to repeat with the same nonce.

        Raises ConfigInvalid, EditConflict, EditReused or EditExpired if it
        was not accepted, and EditUnresolved if that could not be found out.
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
        await self._recall()
        stored = await self._read_head()
        held = stored.head.section_by_team.get(self._edit.team, NO_SECTION)
        accepted = await self._find_acceptance(held)
        if accepted is not None:
            return accepted
        if await self._is_unchanged(held):
            await self._put_head(stored.head, stored)
            return Acceptance(
                self._edit.team, held.edit, held.version, unchanged=True
            )
        self._fix_base(held)
        await self._check(stored)
        await self._write_section()
        return await self._accept(stored)

    async def _recall(self) -> None:
        """Take up where an earlier run with the same nonce ended."""
        if self._base is not None:
            return
        written = await self._reader.read_stored(self._object_key)
        if written is not None:
            self._take_up(written)

    def _take_up(self, written: StoredSection) -> None:
        if decode(written.section, SectionConfig | None) != self._edit.section:
            raise EditReused(self._edit.edit)
        self._age_s = self._edit.written_at - written.written_at
        self._base = SectionPointer(
            written.base_version, "", written.base_edit
        )
        self._may_be_accepted = True

    async def _read_head(self) -> StoredHead:
        stored = await self._reader.read_head()
        if stored.object_version < self._seen:
            raise LaggingRead(HEAD_KEY)
        self._seen = stored.object_version
        return stored

    async def _find_acceptance(
        self, held: SectionPointer
    ) -> Acceptance | None:
        """Look for the edit in the chain of edits from ``held`` to the base.

        Raises LaggingRead if a link of the chain cannot be found.
        """
        team, own = self._edit.team, self._edit.edit
        if held.edit == own:
            return Acceptance(team, own, held.version)
        if not self._may_be_accepted or held.version < self._base.version:
            return None
        edit = held.edit
        while edit != self._base.edit:
            stored = await self._reader.read_stored(section_key(team, edit))
            if stored is None:
                raise LaggingRead(section_key(team, edit))
            if stored.base_edit == own:
                return Acceptance(
                    team, own, held.version, superseded_by=held.edit
                )
            edit = stored.base_edit
        return None

    async def _is_unchanged(self, held: SectionPointer) -> bool:
        if held.removed or self._may_be_accepted:
            return held.removed and self._edit.section is None
        stored = await self._reader.read_stored(held.object_key)
        if stored is None:
            return False
        try:
            section = decode(stored.section, SectionConfig)
        except msgspec.MsgspecError:
            return False
        return section == self._edit.section

    def _fix_base(self, held: SectionPointer) -> None:
        """Take ``held`` as the base, or compare it with the base taken.

        Raises EditConflict if the section has moved on and LaggingRead if
        the read is older than the base.
        """
        if self._base is not None:
            wanted = self._base.version
        elif self._edit.base_version is not None:
            wanted = self._edit.base_version
        else:
            wanted = held.version
        if held.version > wanted:
            subject = f"section {self._edit.team!r}"
            raise EditConflict(subject, held.version, held.edit, held.editor)
        if held.version < wanted:
            raise LaggingRead(HEAD_KEY)
        self._base = held

    async def _check(self, stored: StoredHead) -> None:
        """Check the section and the document; raises ConfigInvalid.

        Faults that other sections have already do not stop the edit.
        """
        if self._edit.section is None:
            return
        before = await self._reader.read_document(stored.head, self._edit.team)
        after = ConfigDocument(
            stored.head.version + 1,
            before.section_by_team | {self._edit.team: self._edit.section},
        )
        known = check_document(before)
        faults = check_rules(self._edit.section)
        faults += [f for f in check_document(after) if f not in known]
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
            await self._compare_written(value)

    async def _compare_written(self, value: StoredSection) -> None:
        written = await self._reader.read_stored(self._object_key)
        if written is None:
            raise LaggingRead(self._object_key)
        self._take_up(written)
        if written.base_edit != value.base_edit:
            raise LaggingRead(self._object_key)

    async def _accept(self, stored: StoredHead) -> Acceptance:
        """Update the head; garbage collection relies on the age limit."""
        if self._age_s + self._retry.now() - self._start > MAX_EDIT_S:
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
            self._seen = max(self._seen, error.current_version)
            raise
