"""Tests of the guarantees about answers, with real processes.

Each guarantee is tested with its mechanism off, where it must be violated,
and with the mechanism on, where it must hold.
"""

import asyncio

import pytest

from heatherdyke.standin.fault_proxy import ProxyFaults
from heatherdyke.standin.fault_proxy import RouteFaults
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke_bench.admin_client import set_faults
from tests.small_fleet import Callers
from tests.small_fleet import start_fleet
from tests.small_fleet import wait_until

ALL_ITEMS = 100
LATE_MS = 15.0
TRUNCATED = 60


def items_of_other_snapshots(outcomes):
    return [
        item
        for _, answer in outcomes.answers
        for item in answer.items
        if item.id.split("/")[-2] != str(answer.snapshot)
    ]


class TestOneSnapshot:
    async def replace_snapshot(self, directory, disable):
        """Drop the old snapshot at one shard while searches run.

        The leaves of this shard answer late, after other shards have already
        answered from the old snapshot.
        """
        async with start_fleet(directory, disable) as fleet:
            async with Callers(fleet) as callers:
                callers.start(4)
                await callers.wait_for_answers(20)
                for leaf, process in fleet.leaf_by_name.items():
                    is_first = leaf.startswith("permits00")
                    held = [2] if is_first else [1, 2]
                    delay_ms = LATE_MS if is_first else 0.0
                    fleet.proxy.set_faults(
                        ProxyFaults({leaf: RouteFaults(delay_ms=delay_ms)})
                    )
                    await set_faults(
                        process.address, LeafFaults(snapshots=held)
                    )
                await callers.wait_for_answers(40)
                return await callers.stop()

    def test_mixes_snapshots_without_the_pin(self, tmp_path):
        outcomes = asyncio.run(self.replace_snapshot(tmp_path, "snapshot-pin"))
        assert items_of_other_snapshots(outcomes)

    def test_every_answer_has_one_snapshot(self, tmp_path):
        outcomes = asyncio.run(self.replace_snapshot(tmp_path, ""))
        assert {a.snapshot for _, a in outcomes.answers} == {1, 2}
        assert not items_of_other_snapshots(outcomes)
        assert not outcomes.wrong_answers()


class TestTrueCoverage:
    async def truncate(self, directory, disable):
        async with start_fleet(directory, disable) as fleet:
            for process in fleet.leaf_by_name.values():
                await set_faults(
                    process.address, LeafFaults(truncate_answers=TRUNCATED)
                )
            async with Callers(fleet, ALL_ITEMS) as callers:
                callers.start(2)
                await callers.wait_for_answers(30)
                answers = callers.outcomes.answers
                await wait_until(lambda: answers[-1][1].coverage_share == 1.0)
                return await callers.stop()

    def test_overstates_without_the_check(self, tmp_path):
        outcomes = asyncio.run(self.truncate(tmp_path, "coverage-check"))
        assert outcomes.wrong_answers()

    def test_reports_the_true_coverage(self, tmp_path):
        outcomes = asyncio.run(self.truncate(tmp_path, ""))
        shares = {answer.coverage_share for _, answer in outcomes.answers}
        assert min(shares) < 1.0
        assert max(shares) == 1.0
        assert not outcomes.wrong_answers()


class TestSplitShard:
    def test_is_covered_by_its_children(self, tmp_path):
        parent = "permits00/permits00.0"
        children = [f"{parent}a", f"{parent}b"]
        faults = LeafFaults(children_by_shard={parent: children})

        async def split():
            async with start_fleet(tmp_path) as fleet:
                async with Callers(fleet, ALL_ITEMS) as callers:
                    callers.start(3)
                    await callers.wait_for_answers(30)
                    for leaf, process in fleet.leaf_by_name.items():
                        if leaf.startswith("permits00"):
                            await set_faults(process.address, faults)
                    await callers.wait_for_answers(60)
                    return await callers.stop()

        outcomes = asyncio.run(split())
        assert all(a.coverage_share == 1.0 for _, a in outcomes.answers)
        shards = {item.shard for item in outcomes.answers[-1][1].items}
        assert shards == {*children, "permits01/permits01.0"}


class TestOwnAnswer:
    async def cross(self, directory, disable):
        async with start_fleet(directory, disable) as fleet:
            async with Callers(fleet, ALL_ITEMS) as callers:
                callers.start(6)
                for _ in range(5):
                    await callers.wait_for_answers(10)
                    for process in fleet.leaf_by_name.values():
                        await set_faults(
                            process.address, LeafFaults(cross_answers=2)
                        )
                    fleet.proxy.set_faults(
                        ProxyFaults(
                            {
                                leaf: RouteFaults(cross=2)
                                for leaf in fleet.leaf_by_name
                            }
                        )
                    )
                await callers.wait_for_answers(20)
                return await callers.stop()

    def test_accepts_crossed_answers_without_the_match(self, tmp_path):
        outcomes = asyncio.run(self.cross(tmp_path, "part-match"))
        assert outcomes.wrong_answers()

    def test_each_caller_gets_its_own_answer(self, tmp_path):
        outcomes = asyncio.run(self.cross(tmp_path, ""))
        assert not outcomes.wrong_answers()
        for request, answer in outcomes.answers:
            assert all(item.text == request.query for item in answer.items)


class TestSilentConnections:
    @pytest.mark.parametrize("rounds", [2])
    def test_are_replaced_and_searches_continue(self, tmp_path, rounds):
        async def silence():
            async with start_fleet(tmp_path) as fleet:
                async with Callers(fleet) as callers:
                    callers.start(3)
                    for _ in range(rounds):
                        await callers.wait_for_answers(30)
                        for leaf in fleet.leaf_by_name:
                            fleet.proxy.set_faults(
                                ProxyFaults({leaf: RouteFaults(silent=True)})
                            )
                    await callers.wait_for_answers(100)
                    return await callers.stop()

        outcomes = asyncio.run(silence())
        last = [a.coverage_share for _, a in outcomes.answers[-50:]]
        assert min(last) == 1.0
        assert not outcomes.wrong_answers()
