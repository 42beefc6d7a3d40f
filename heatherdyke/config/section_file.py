"""Loads a section from a YAML file and reports all its faults."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any

import yaml

from heatherdyke.config.fault import Fault
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.section_parser import parse_section
from heatherdyke.config.validation import check_section
from heatherdyke.errors import ConfigFileError
from heatherdyke.errors import ConfigInvalid


class _UniqueKeyLoader(yaml.SafeLoader):
    """Loads plain data and collects duplicate keys with their lines."""

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self.duplicates: list[tuple[Any, int]] = []

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Return the mapping; record its duplicate keys."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                line = key_node.start_mark.line + 1
                self.duplicates.append((key, line))
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_section(path: Path) -> tuple[SectionConfig, list[Fault]]:
    """Return the section in the file and all its faults.

    Raises ConfigFileError if the file cannot be read as YAML.
    """
    value, faults = _load_yaml(path)
    section, _ = parse_section(value, path.stem)
    return section, faults + check_section(value, path.stem)


def load_valid_section(path: Path) -> SectionConfig:
    """Return the section in the file.

    Raises ConfigFileError, or ConfigInvalid with every fault.
    """
    section, faults = load_section(path)
    if faults:
        raise ConfigInvalid(faults)
    return section


def _load_yaml(path: Path) -> tuple[Any, list[Fault]]:
    try:
        loader = _UniqueKeyLoader(path.read_text(encoding="utf-8"))
        value = loader.get_single_data()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigFileError(
            f"{path} cannot be read: {error}", "pass a readable YAML file"
        ) from error
    except yaml.YAMLError as error:
        message = " ".join(str(error).split())
        raise ConfigFileError(
            f"{path} is not valid YAML: {message}", "correct the YAML syntax"
        ) from error
    faults = [
        Fault(
            path.stem,
            f"line {line}",
            key,
            "repeated-key",
            "remove the duplicates; only the last one would be used",
        )
        for key, line in loader.duplicates
    ]
    return value, faults
