"""Offline validation of sections reports all faults at once."""

from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from heatherdyke.config.commands import check_files
from heatherdyke.config.commands import section_schema
from heatherdyke.config.diff import diff_sections
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import LeafConfig
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import ServiceConfig
from heatherdyke.config.model import ShardConfig
from heatherdyke.config.section_file import load_section
from heatherdyke.config.validation import check_document
from heatherdyke.config.validation import check_rules
from heatherdyke.config.validation import check_section
from heatherdyke.errors import ConfigFileError
from heatherdyke_bench.deployments import deployments

DOCS = Path(__file__).parent.parent / "docs"

FAULTY = """
team: permits
typo: 1
leaves:
  a: {address: "localhost:80", zone: brescia, slots: 0, connections: x}
  a: {address: "127.0.0.1:80", zone: brescia, slots: 0, connections: x}
services:
  search:
    index: ledger
    shards:
      s0: {leaves: [a, b, a], weight: -1}
urgency:
  foreman: {priority: 1, wanted_coverage: 2.0}
key_hashes: [secret]
"""


class TestCheck:
    def test_all_faults_are_reported_at_once(self, tmp_path):
        path = tmp_path / "permits.yaml"
        path.write_text(FAULTY)
        _, faults = load_section(path)
        assert {(f.path, f.rule) for f in faults} == {
            ("line 6", "repeated-key"),
            ("typo", "unknown-field"),
            ("leaves.a.slots", "positive-number"),
            ("leaves.a.cold_slots", "cold-slots"),
            ("leaves.a.connections", "type"),
            ("services.search.shards.s0.leaves.1", "shard-leaves"),
            ("services.search.shards.s0.leaves.2", "shard-leaves"),
            ("services.search.shards.s0.weight", "positive-number"),
            ("urgency.foreman.wanted_coverage", "urgency-class"),
            ("key_hashes.0", "key-hash"),
        }
        assert all(fault.remedy for fault in faults)

    @pytest.mark.parametrize("value", [None, [], "text", {"team": 3}])
    def test_data_of_another_type_is_a_fault(self, value):
        assert check_section(value)

    def test_invalid_yaml_is_an_error(self, tmp_path):
        path = tmp_path / "broken.yaml"
        path.write_text("a: [")
        with pytest.raises(ConfigFileError):
            load_section(path)

    def test_ids_are_unique_across_teams(self):
        leaf = LeafConfig("127.0.0.1:1", "z", 1, 1)
        sections = {
            team: SectionConfig(team, leaves={"a": leaf}, key_hashes=["k"])
            for team in ("billing", "permits")
        }
        faults = check_document(ConfigDocument(1, sections))
        assert {(f.team, f.rule) for f in faults} == {
            ("permits", "leaf-unique"),
            ("permits", "address-unique"),
            ("permits", "key-unique"),
        }

    @pytest.mark.parametrize("name", sorted(deployments.by_name))
    def test_bench_deployments_have_no_faults(self, name):
        deployment = deployments.find(name)
        profiles = deployment.profiles()
        address_by_leaf = {
            profile.leaf: f"127.0.0.1:{number}"
            for number, profile in enumerate(profiles, 10_000)
        }
        sections = deployment.sections(profiles, address_by_leaf)
        assert [check_rules(s) for s in sections.values()] == [[]] * len(
            sections
        )
        assert check_document(ConfigDocument(1, sections)) == []

    def test_run_once_service_must_not_share_its_index(self):
        service = ServiceConfig("i", {"s": ShardConfig(["a"])})
        section = SectionConfig(
            "permits",
            {"x": service, "y": replace(service, run_once="ticket")},
            {"a": LeafConfig("127.0.0.1:1", "z", 1, 1)},
        )
        value = msgspec.to_builtins(section)
        assert [f.rule for f in check_section(value)] == ["run-once-index"]


class TestDiff:
    def test_changes_have_paths(self):
        before = SectionConfig("a", readers=["b"])
        after = SectionConfig(
            "a", leaves={"x": LeafConfig("127.0.0.1:1", "z", 1, 1)}
        )
        changes = [str(change) for change in diff_sections(before, after)]
        assert changes[0].startswith("+ leaves.x = ")
        assert changes[1] == "~ readers = ['b'] -> []"


class TestDocs:
    def test_schema_matches_the_types(self):
        assert (DOCS / "section.schema.json").read_bytes() == section_schema()

    def test_examples_have_no_faults(self):
        paths = sorted((DOCS / "examples").glob("*.yaml"))
        assert len(paths) > 1
        assert check_files(paths) == []

    def test_schema_contains_every_field(self):
        schema = msgspec.json.decode(section_schema())
        section = schema["$defs"]["SectionConfig"]["properties"]
        fields = {
            f.name for f in msgspec.inspect.type_info(SectionConfig).fields
        }
        assert set(section) == fields
