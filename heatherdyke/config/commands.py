"""Implements the ``config`` and ``zone`` commands, without their output."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from time import monotonic
from time import time
from uuid import uuid4

import msgspec
import yaml

from heatherdyke.config.diff import Change
from heatherdyke.config.diff import diff_sections
from heatherdyke.config.document_reader import DocumentReader
from heatherdyke.config.edit_retry import EditRetry
from heatherdyke.config.fault import Fault
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.rollout import InstanceProgress
from heatherdyke.config.rollout import ProgressCheck
from heatherdyke.config.rollout import wait_until_active
from heatherdyke.config.section_editor import Acceptance
from heatherdyke.config.section_editor import SectionEdit
from heatherdyke.config.section_editor import SectionEditor
from heatherdyke.config.section_file import load_section
from heatherdyke.config.section_file import load_valid_section
from heatherdyke.config.validation import check_document
from heatherdyke.config.zone_editor import ZoneEdit
from heatherdyke.config.zone_editor import apply_zone_edit
from heatherdyke.config.zone_editor import read_zones_object
from heatherdyke.config.zone_state import ZonesObject
from heatherdyke.config.zone_state import ZoneStatus
from heatherdyke.errors import ConfigError
from heatherdyke.errors import LaggingRead
from heatherdyke.errors import PlatformUnavailable
from heatherdyke.membership.instance_listing import list_instances
from heatherdyke.objects.client import ObjectClient

NO_TEAM = ""


@dataclass(frozen=True, slots=True)
class ShownSection:
    """An accepted section with its version and last edit."""

    team: str
    version: int
    edit: str
    editor: str
    section: SectionConfig


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """An accepted edit and, if requested, the progress of its rollout."""

    acceptance: Acceptance
    instances: list[InstanceProgress] | None = None


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """The zones' states and, if requested, the progress of their rollout."""

    zones: ZonesObject
    instances: list[InstanceProgress] | None = None


@dataclass(frozen=True, slots=True)
class ShownDocument:
    """The current document: all sections that the head refers to."""

    version: int
    sections: list[ShownSection] = field(default_factory=list)


def check_files(paths: list[Path]) -> list[Fault]:
    """Return the faults of the sections and of the document they form.

    Raises ConfigFileError if a file cannot be read.
    """
    faults: list[Fault] = []
    section_by_team: dict[str, SectionConfig] = {}
    for path in paths:
        section, found = load_section(path)
        faults += found
        if section.team in section_by_team:
            remedy = f"{path} is a second file for this team: remove one"
            faults.append(
                Fault(section.team, "team", section.team, "one-file", remedy)
            )
        section_by_team[section.team] = section
    if len(paths) > 1:
        faults += check_document(ConfigDocument(0, section_by_team))
    return faults


def section_schema() -> bytes:
    """Return the JSON Schema of a section, generated from its types."""
    schema = msgspec.json.schema(SectionConfig)
    text = msgspec.json.encode(schema, order="sorted")
    return msgspec.json.format(text, indent=2) + b"\n"


async def show_document(
    platform: ObjectClient, team: str = NO_TEAM
) -> ShownDocument:
    """Return the current document, or one team's section of it.

    Raises PlatformUnavailable, UnreadableObject, LaggingRead if the object of
    a section cannot be found, and ConfigError if the team has no section.
    """
    reader = DocumentReader(platform)
    head = (await reader.read_head()).head
    sections = []
    for name, pointer in sorted(head.section_by_team.items()):
        if pointer.removed or team not in (NO_TEAM, name):
            continue
        section = await reader.read_section(pointer.object_key)
        if section is None:
            raise LaggingRead(pointer.object_key)
        sections.append(
            ShownSection(
                name, pointer.version, pointer.edit, pointer.editor, section
            )
        )
    if team and not sections:
        raise ConfigError(
            f"team {team!r} has no section", "see config show for the teams"
        )
    return ShownDocument(head.version, sections)


async def diff_file(platform: ObjectClient, path: Path) -> list[Change]:
    """Return what applying the file would change.

    Raises as ``load_valid_section`` and ``show_document`` do.
    """
    section = load_valid_section(path)
    shown = await show_document(platform)
    accepted = [s.section for s in shown.sections if s.team == section.team]
    return diff_sections(accepted[0] if accepted else None, section)


def section_text(section: SectionConfig) -> str:
    """Return the section as YAML, the format used in version control."""
    return yaml.safe_dump(msgspec.to_builtins(section), sort_keys=False)


def require_team(section: SectionConfig, team: str) -> None:
    """Raise ConfigError unless the section belongs to the team."""
    if section.team != team:
        raise ConfigError(
            f"the file contains the section of team {section.team!r}, "
            f"not of {team!r}",
            "a team can only apply its own section: correct --team or the "
            "file",
        )


async def apply_section(
    platform: ObjectClient,
    team: str,
    section: SectionConfig | None,
    editor: str,
    edit: str = "",
    base_version: int | None = None,
) -> Acceptance:
    """Apply the team's section, or remove it if it is None.

    Raises as SectionEditor.apply does.
    """
    section_edit = SectionEdit(
        team=team,
        section=section,
        edit=edit or new_edit_id(),
        editor=editor,
        written_at=time(),
        base_version=base_version,
    )
    return await SectionEditor(platform, section_edit, default_retry()).apply()


async def change_zone_state(
    platform: ObjectClient,
    zone: str,
    state: ZoneStatus,
    editor: str,
    reason: str = "",
    edit: str = "",
) -> ZonesObject:
    """Take the zone out of service or back in; raises as apply_zone_edit."""
    zone_edit = ZoneEdit(zone, state, edit or new_edit_id(), editor, reason)
    return await apply_zone_edit(platform, zone_edit, default_retry())


async def show_zones(platform: ObjectClient) -> ZonesObject:
    """Return the zones' states; raises as read_zones_object."""
    zones, _ = await read_zones_object(platform)
    return zones


async def require_zone(platform: ObjectClient, zone: str) -> None:
    """Raise ConfigError unless an instance or a leaf is in the zone.

    Raises PlatformUnavailable if the instances cannot be listed.  If none is
    in the zone, the document is read, which raises as ``show_document``.
    """
    rows = await platform.instances()
    zones = {row.zone for row in rows}
    if zone in zones:
        return
    shown = await show_document(platform)
    for section in shown.sections:
        zones |= {leaf.zone for leaf in section.section.leaves.values()}
    if zone not in zones:
        raise ConfigError(
            f"no instance and no leaf is in zone {zone!r}",
            f"known zones: {', '.join(sorted(zones)) or 'none'}",
        )


async def wait_for_rollout(
    platform: ObjectClient, progress_check: ProgressCheck, timeout_s: float
) -> list[InstanceProgress]:
    """Wait until a change is active on every listed instance.

    Returns an empty list if the platform cannot list the instances.
    """
    try:
        instances = await list_instances(platform)
    except PlatformUnavailable:
        return []
    return await wait_until_active(instances, progress_check, timeout_s)


def new_edit_id() -> str:
    """Return a unique nonce for an edit."""
    return uuid4().hex


def default_retry() -> EditRetry:
    """Return the retry policy with the real clock and sleep."""
    return EditRetry(sleep=asyncio.sleep, now=monotonic)
