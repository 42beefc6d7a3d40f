"""Checks sections and the whole document; needs no platform."""

from typing import Any

from heatherdyke.config.fault import Fault
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.rules import Breach
from heatherdyke.config.rules import document_rules
from heatherdyke.config.rules import section_rules
from heatherdyke.config.section_parser import read_section


def check_section(value: Any, team: str = "") -> list[Fault]:
    """Return every fault of the section that plain data holds.

    A value that is faulty by its type is not judged by the rules as well.
    """
    section, faults = read_section(value, team)
    faulty = {fault.path for fault in faults}
    for fault in check_rules(section):
        if not any(_covers(path, fault.path) for path in faulty):
            faults.append(fault)
    return faults


def check_rules(section: SectionConfig) -> list[Fault]:
    """Return the section's breaches of the section rules."""
    return [
        _fault(section.team, rule, breach)
        for rule, check in section_rules.by_name.items()
        for breach in check(section)
    ]


def check_document(document: ConfigDocument) -> list[Fault]:
    """Return the breaches of the rules over all sections."""
    return [
        _fault(found.team, rule, found.breach)
        for rule, check in document_rules.by_name.items()
        for found in check(document)
    ]


def _covers(faulty: str, path: str) -> bool:
    return not faulty or path == faulty or path.startswith(f"{faulty}.")


def _fault(team: str, rule: str, breach: Breach) -> Fault:
    return Fault(team, breach.path, breach.value, rule, breach.remedy)
