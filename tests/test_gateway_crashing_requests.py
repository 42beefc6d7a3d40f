"""A request that crashes its leafs, at real instances."""

import asyncio
from contextlib import suppress

import pytest
from crash_load import LATE_ARRIVALS
from crash_load import STABILITY_S
from crash_load import CrashLoad
from crash_load import quarantined_ids
from crash_load import set_up_leafs
from gateway_fleet import Fleet
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import until

THIRD = 3
# How long arrivals are counted after the instances had time to learn.
COUNTED_S = 4.0
CLIENTS = 3
DOWN_S = 1.5
SEED = 26


async def play(fleet: Fleet, prefix: str, instances: int) -> CrashLoad:
    """Play a caller with a crashing request beside other clients."""
    await set_up_leafs(fleet, DOWN_S)
    for number in range(instances):
        await ready_gateway(fleet, f"g{number}")
    load = CrashLoad(fleet, prefix, SEED)
    tasks = [asyncio.create_task(load.send_others()) for _ in range(CLIENTS)]
    tasks.append(asyncio.create_task(load.repeat_crashing()))
    try:
        await until(lambda: len(load.crash_times()) >= THIRD, 15.0)
        third_at = load.crash_times()[THIRD - 1]
        counted_from = third_at + STABILITY_S
        await asyncio.sleep(counted_from + COUNTED_S - load.now())
    finally:
        load.stopping = True
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
    return load


class TestCrashingRequest:
    # Guards against instances that send a request on to leaf after leaf
    # although it has crashed each leaf that ran it.
    @pytest.mark.parametrize("instances", [1, 3])
    @pytest.mark.parametrize("prefix", ["/o/", "/u/", "/s/"])
    def test_it_reaches_no_more_leafs_once_it_has_crashed_three(
        self, tmp_path, prefix, instances
    ):
        async def scenario(fleet):
            load = await play(fleet, prefix, instances)
            counted_from = load.crash_times()[THIRD - 1] + STABILITY_S
            assert load.arrivals_after(counted_from) <= LATE_ARRIVALS
            late = [x for x in load.crashing if x.at > counted_from]
            assert late
            for sent in late:
                assert sent.status == 503
                assert sent.retry_after_s > 0
                assert not load.ran(sent.request_id)
            served = [x.status for x in load.others if x.at > counted_from]
            assert set(served) == {200}
            other_ids = {sent.request_id for sent in load.others}
            assert quarantined_ids(fleet) & other_ids == set()

        run(scenario, tmp_path)
