"""The experiment tool's deployments, scenarios and reports."""

import pytest
from hdrh.histogram import HdrHistogram

from heatherdyke.request_errors import RunState
from heatherdyke.standin.leaf_model import LeafIncarnationRecord
from heatherdyke.standin.leaf_model import LeafRecord
from heatherdyke_bench.actions import actions
from heatherdyke_bench.actions import substitute_zones
from heatherdyke_bench.deployments import deployments
from heatherdyke_bench.errors import ScenarioError
from heatherdyke_bench.load import ClassResult
from heatherdyke_bench.load import RefusedSearch
from heatherdyke_bench.report import LeafTotals
from heatherdyke_bench.report import count_mixed_snapshot_requests
from heatherdyke_bench.report import median_report
from heatherdyke_bench.report import received_request_ids
from heatherdyke_bench.report import report_phase
from heatherdyke_bench.scenario import load_scenario
from heatherdyke_bench.scenario import parse_scenario
from heatherdyke_bench.scenario import scenario_names
from heatherdyke_bench.zone_network import ZoneNetwork


class TestDeployments:
    @pytest.mark.parametrize(
        "name,leaves,zones", [("trincea-calda", 108, 3), ("bagmati", 109, 4)]
    )
    def test_deployments_in_use_have_full_size(self, name, leaves, zones):
        deployment = deployments.find(name)
        profiles = deployment.profiles()
        assert len({p.leaf for p in profiles}) == leaves
        assert {p.zone for p in profiles} == set(deployment.zones)
        assert len(deployment.zones) == zones
        assert len(deployment.zone_by_instance) == 7
        sections = deployment.sections(
            profiles, {p.leaf: "x" for p in profiles}
        )
        for section in sections.values():
            for service in section.services.values():
                for shard in service.shards.values():
                    shard_zones = {
                        section.leaves[x].zone for x in shard.leaves
                    }
                    assert len(shard_zones) == len(shard.leaves)


class TestScenarios:
    @pytest.mark.parametrize("name", scenario_names())
    def test_each_file_is_valid(self, name):
        scenario = load_scenario(name)
        deployment = deployments.find("trincea-calda")
        assert scenario.name == name
        for profile in deployment.profiles()[:1]:
            assert scenario.adjust_profile(profile, 1).leaf == profile.leaf
        for phase in scenario.phases:
            for action in phase.actions:
                actions.find(action.do)
                assert 0 <= action.at_s < phase.seconds

    def test_error_names_the_missing_field(self):
        with pytest.raises(ScenarioError, match="phases"):
            parse_scenario("{name: x, description: y}")

    def test_zones_are_substituted(self):
        substituted = substitute_zones(
            {"zone": "$1", "name": "$0-1", "n": 1}, ["a", "b"]
        )
        assert substituted == {"zone": "b", "name": "a-1", "n": 1}


class TestZoneNetwork:
    def test_partition_drops_traffic_from_the_other_side(self):
        deployment = deployments.find("trincea-calda")
        network = ZoneNetwork(deployment, proxied=True)
        network.route_instance("brescia-1", "127.0.1.1:1")
        network.route_instance("verona-3", "127.0.3.1:1")
        network.route_platform("127.0.0.1:9")
        faults = network.partition_zone("brescia").by_route
        assert faults["brescia-1"].sources == ["127.0.2.1", "127.0.3.1"]
        assert faults["verona-3/udp"].sources == ["127.0.1.1"]
        assert faults["platform"].sources == ["127.0.1.1"]


def _record(leaf, searches, request_id="r", snapshots=(1,)):
    incarnation = LeafIncarnationRecord(leaf, "i", searches=searches)
    incarnation.snapshots_by_request[request_id] = list(snapshots)
    return LeafRecord(leaf, [incarnation])


class TestReport:
    def test_refusals_and_load_are_checked_against_leaf_records(self):
        records = {"a": _record("a", 30), "b": _record("b", 10, "s", (1, 2))}
        histogram = HdrHistogram(1, 120_000_000, 3)
        histogram.record_value(5000)
        result = ClassResult(
            sent=3,
            answered=1,
            useful=1,
            coverage_sum=0.5,
            coverage_min=0.5,
            needed=32,
            refused=[
                RefusedSearch("r", "overloaded", RunState.NOT_RUN),
                RefusedSearch("t", "overloaded", RunState.NOT_RUN),
            ],
            histogram=histogram.encode().decode(),
        )
        before = LeafTotals.from_records({})
        after = LeafTotals.from_records(records)
        received = received_request_ids(records)
        zones = {"a": "x", "b": "y"}
        phase = report_phase({"c": result}, before, after, zones, received)
        report = phase.class_by_name["c"]
        assert report.untrue == 1
        assert report.p99_ms == pytest.approx(5.0, rel=0.01)
        assert phase.load.extra_share == pytest.approx(40 / 32 - 1)
        assert phase.load.fairness == pytest.approx(1.5)
        assert phase.load.least_zone == 10
        assert count_mixed_snapshot_requests(records) == 1
        assert median_report([report, report, report]) == report
