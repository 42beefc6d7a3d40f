"""Validates sections and the whole document, without the platform."""

from typing import Any

from heatherdyke.config.fault import Fault
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.rules import Violation
from heatherdyke.config.rules import document_rules
from heatherdyke.config.rules import section_rules
from heatherdyke.config.section_parser import parse_section


def check_section(value: Any, team: str = "") -> list[Fault]:
    """Return all faults of the section that is given as plain data.

    The rules are not applied to values with a structural fault.
    """
    section, faults = parse_section(value, team)
    faulty_paths = {fault.path for fault in faults}
    for fault in check_rules(section):
        if not any(_covers(path, fault.path) for path in faulty_paths):
            faults.append(fault)
    return faults


def check_rules(section: SectionConfig) -> list[Fault]:
    """Return the violations of the section rules."""
    return [
        _fault(section.team, rule, violation)
        for rule, check in section_rules.by_name.items()
        for violation in check(section)
    ]


def check_document(document: ConfigDocument) -> list[Fault]:
    """Return the violations of the rules that span all sections."""
    return [
        _fault(found.team, rule, found.violation)
        for rule, check in document_rules.by_name.items()
        for found in check(document)
    ]


def _covers(faulty_path: str, path: str) -> bool:
    return (
        not faulty_path
        or path == faulty_path
        or path.startswith(f"{faulty_path}.")
    )


def _fault(team: str, rule: str, violation: Violation) -> Fault:
    return Fault(team, violation.path, violation.value, rule, violation.remedy)
