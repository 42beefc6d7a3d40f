"""Records the changes of a configuration merge in the journal."""

from heatherdyke.config.state import MergeOutcome
from heatherdyke.observe.events import CONFIG_APPLIED
from heatherdyke.observe.events import SECTION_UNREADABLE
from heatherdyke.observe.events import ZONE_CHANGED
from heatherdyke.observe.journal import Journal


def record_outcome(
    journal: Journal, outcome: MergeOutcome, version: int, source: str
) -> None:
    """Record the changes of ``outcome``, received from ``source``."""
    if outcome.teams or outcome.advanced:
        journal.record(
            CONFIG_APPLIED, version=version, teams=outcome.teams, source=source
        )
    for fault in outcome.unreadable:
        journal.record(
            SECTION_UNREADABLE,
            team=fault.team,
            version=fault.version,
            reason=fault.reason,
        )
    for change in outcome.zones:
        journal.record(
            ZONE_CHANGED,
            zone=change.zone,
            state=change.entry.state.value,
            order=change.entry.order,
            editor=change.entry.editor,
            source=source,
        )
