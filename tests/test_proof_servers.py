"""Guarantees to backend servers, and graceful shutdown.

The leaves' own records are checked.  Each guarantee is broken with its
mechanism disabled and holds with it enabled.
"""

import asyncio
import signal
from contextlib import suppress

from heatherdyke.errors import ConnectionRefused
from heatherdyke.errors import TransportError
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke_bench.admin_client import set_faults
from tests.small_fleet import Callers
from tests.small_fleet import latest_records
from tests.small_fleet import small_deployment
from tests.small_fleet import start_fleet
from tests.small_fleet import wait_until

COLD_SEARCHES = 40
DRAIN_LIMIT_S = 3.0
DRAIN_WATCH_S = 4.0
SLOW_MS = 300.0


class TestColdServer:
    async def restart_leaves(self, directory, disable):
        async with start_fleet(
            directory, disable, cold_searches=COLD_SEARCHES
        ) as fleet:
            async with Callers(fleet) as callers:
                callers.start(12)
                await callers.wait_for_answers(200)
                for _ in range(2):
                    for process in fleet.leaf_by_name.values():
                        with suppress(TransportError):
                            await set_faults(
                                process.address, LeafFaults(restart=True)
                            )
                        await callers.wait_for_answers(100)
                await callers.wait_for_answers(500)
                outcomes = await callers.stop()
            return outcomes, await fleet.leaf_records()

    def excess(self, records):
        return sum(
            incarnation.cold_excess
            for record in records.values()
            for incarnation in record.incarnations
        )

    def test_gets_more_than_its_cold_slots_without_the_ramp(self, tmp_path):
        _, records = asyncio.run(self.restart_leaves(tmp_path, "cold-ramp"))
        assert self.excess(records) > 0

    def test_gets_no_more_than_its_cold_slots(self, tmp_path):
        outcomes, records = asyncio.run(self.restart_leaves(tmp_path, ""))
        cold = sum(
            incarnation.cold_arrivals
            for record in records.values()
            for incarnation in record.incarnations
        )
        assert cold > 0
        assert self.excess(records) == 0
        assert not outcomes.wrong_answers()


class TestLeavingServer:
    async def drain_leaf(self, directory, disable):
        async with start_fleet(directory, disable) as fleet:
            async with Callers(fleet) as callers:
                callers.start(6)
                await callers.wait_for_answers(100)
                leaf = next(iter(fleet.leaf_by_name))
                await set_faults(
                    fleet.leaf_by_name[leaf].address,
                    LeafFaults(drain=True, drain_answer_s=60.0),
                )
                loop = asyncio.get_running_loop()
                until = loop.time() + DRAIN_WATCH_S
                await wait_until(lambda: loop.time() >= until)
                outcomes = await callers.stop()
            return outcomes, (await latest_records(fleet))[leaf]

    def test_gets_new_work_for_long_without_leaf_drain(self, tmp_path):
        _, record = asyncio.run(self.drain_leaf(tmp_path, "leaf-drain"))
        assert record.draining_last_s > DRAIN_LIMIT_S

    def test_gets_no_new_work_after_some_seconds(self, tmp_path):
        outcomes, record = asyncio.run(self.drain_leaf(tmp_path, ""))
        assert record.draining_last_s < DRAIN_LIMIT_S
        last = [a.coverage_share for _, a in outcomes.answers[-100:]]
        assert min(last) == 1.0


class TestGracefulShutdown:
    async def terminate(self, directory, disable):
        async with start_fleet(directory, disable) as fleet:
            for process in fleet.leaf_by_name.values():
                await set_faults(
                    process.address, LeafFaults(service_ms=SLOW_MS)
                )
            name = next(iter(fleet.instance_by_name))
            async with Callers(fleet, skip_unready=True) as callers:
                callers.start(2, [name])
                callers.start(1)
                await callers.wait_for_answers(5)
                process = fleet.find_instance(name)
                process.send_signal(signal.SIGTERM)
                await wait_until(lambda: not process.running)
                return await callers.stop()

    def is_aborted(self, error):
        return not isinstance(error, ConnectionRefused)

    def test_aborts_requests_without_graceful_shutdown(self, tmp_path):
        outcomes = asyncio.run(self.terminate(tmp_path, "graceful-shutdown"))
        assert any(map(self.is_aborted, outcomes.broken))

    def test_aborts_no_request(self, tmp_path):
        outcomes = asyncio.run(self.terminate(tmp_path, ""))
        assert not list(filter(self.is_aborted, outcomes.broken))
        kinds = {error.problem.kind for error in outcomes.refused}
        assert kinds <= {"shutting_down"}
        assert not outcomes.wrong_answers()


class TestZoneWithoutInstance:
    def test_is_served_by_another_zone_until_it_has_one_again(self, tmp_path):
        async def fail_over_and_back():
            deployment = small_deployment(services=3, replicas=1)
            async with start_fleet(tmp_path, deployment=deployment) as fleet:
                lost, *others = fleet.instance_by_name
                async with Callers(fleet) as callers:
                    callers.start(2, others)
                    answers = callers.outcomes.answers
                    await callers.wait_for_answers(20)
                    await fleet.find_instance(lost).stop(signal.SIGKILL)
                    await wait_until(
                        lambda: answers[-1][1].coverage_share < 1.0
                    )
                    await wait_until(
                        lambda: answers[-1][1].coverage_share == 1.0
                    )
                    await fleet.start_instance(lost)
                    await callers.wait_for_answers(200)
                    await callers.stop()
                    return answers, await latest_records(fleet)

        answers, records = asyncio.run(fail_over_and_back())
        assert all(a.coverage_share == 1.0 for _, a in answers[-50:])
        assert sum(record.over_slots for record in records.values()) == 0
