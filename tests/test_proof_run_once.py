"""Proofs that a request runs at most once, with real processes.

The leaves' records of runs by key judge.  Each proof is seen to fail with
its mechanism off, then to pass with it on.
"""

import asyncio
import signal
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from heatherdyke.callers.client import RequestRefused
from heatherdyke.config.model import RunOnceMode
from heatherdyke.errors import HeatherdykeError
from heatherdyke.errors import RunState
from heatherdyke.errors import TransportError
from heatherdyke.messages import RunOutcomeState
from heatherdyke.messages import RunRequest
from heatherdyke.run_once.client import RunClient
from heatherdyke.standin.fault_proxy import ProxyFaults
from heatherdyke.standin.fault_proxy import RouteFaults
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke_bench.admin_client import set_faults
from heatherdyke_bench.deployments import caller_key
from tests.small_fleet import TEAM
from tests.small_fleet import small_deployment
from tests.small_fleet import start_fleet
from tests.small_fleet import wait_until

PULL = RunRequest("permits00", "pull", "dossier 7", deadline_ms=4000)
RUN_MS = 600.0


def deployment(mode):
    plain = small_deployment(services=1)
    return replace(plain, plans=[replace(plain.plans[0], run_once=mode)])


class RunFleet:
    """A fleet with a client per instance and the leaves' run counts."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.names = list(fleet.instance_by_name)
        self.clients = [
            RunClient(
                fleet.find_instance(name).caller_address, caller_key(TEAM)
            )
            for name in self.names
        ]

    async def runs(self, key):
        records = await self.fleet.leaf_records()
        return sum(
            incarnation.runs_by_key.get(f"{TEAM}/{key}", 0)
            for record in records.values()
            for incarnation in record.incarnations
        )

    async def wait_until_run(self, key):
        await wait_until(lambda: self._has_run(key))

    async def _has_run(self, key):
        return await self.runs(key) > 0

    def process(self, number):
        return self.fleet.find_instance(self.names[number])

    async def platform(self, **faults):
        await set_faults(self.fleet.platform.address, PlatformFaults(**faults))

    def cut_leaves(self, cut):
        """Cut all connections to leaves, or none."""
        self.fleet.proxy.set_faults(
            ProxyFaults(
                {
                    leaf: RouteFaults(cut=cut)
                    for leaf in self.fleet.leaf_by_name
                }
            )
        )


async def told(awaitable):
    """Return the outcome or problem that a caller is told."""
    try:
        return await awaitable
    except RequestRefused as error:
        return error.problem
    except HeatherdykeError as error:
        return error


def says_not_run(answer):
    state = getattr(answer, "run_state", getattr(answer, "state", None))
    return state in (RunState.NOT_RUN, RunOutcomeState.NOT_RUN)


@asynccontextmanager
async def run_fleet(directory, mode, disable=""):
    async with start_fleet(
        directory, disable, deployment(mode), run_ms=RUN_MS
    ) as fleet:
        yield RunFleet(fleet)


async def retry_elsewhere(runs, key):
    """Send as a balancer does: on to the next instance if one breaks."""
    return await asyncio.gather(
        *(told(client.run(key, PULL)) for client in runs.clients)
    )


class TestBalancerRetries:
    async def retry(self, directory, mode, disable=""):
        async with run_fleet(directory, mode, disable) as runs:
            key = "pull-1"
            if mode is RunOnceMode.TICKET:
                key = (await runs.clients[0].tickets())[0]
            answers = await retry_elsewhere(runs, key)
            again = await told(runs.clients[-1].look(key))
            return await runs.runs(key), answers, again

    @pytest.mark.parametrize(
        "mode", [RunOnceMode.RECORDED, RunOnceMode.TICKET]
    )
    def test_runs_again_without_the_mechanism(self, tmp_path, mode):
        count, *_ = asyncio.run(self.retry(tmp_path, mode, "run-once"))
        assert count > 1

    @pytest.mark.parametrize(
        "mode", [RunOnceMode.RECORDED, RunOnceMode.TICKET]
    )
    def test_runs_once_and_all_hear_one_result(self, tmp_path, mode):
        count, answers, again = asyncio.run(self.retry(tmp_path, mode))
        assert count == 1
        assert {a.state for a in answers} == {RunOutcomeState.DONE}
        assert len({a.result for a in [*answers, again]}) == 1


class TestFaults:
    """Faults of a whole fleet one after another, two of them at once."""

    def test_recorded(self, tmp_path):
        asyncio.run(self.recorded(tmp_path))

    async def recorded(self, directory):
        async with run_fleet(directory, RunOnceMode.RECORDED) as runs:
            await self.lost_reply_of_the_record(runs)
            await self.connection_dies_with_the_request(runs)
            await self.holder_pauses(runs)
            await self.platform_outage_while_running(runs)
            await self.platform_outage_before(runs)
            await self.other_body_under_the_key(runs)
            await self.holder_dies(runs)

    async def lost_reply_of_the_record(self, runs):
        await runs.platform(lose_replies=1)
        answer = await told(runs.clients[0].run("lost", PULL))
        assert answer.state is RunOutcomeState.DONE, answer
        assert await runs.runs("lost") == 1

    async def connection_dies_with_the_request(self, runs):
        sending = asyncio.create_task(told(runs.clients[0].run("cut", PULL)))
        await runs.wait_until_run("cut")
        runs.cut_leaves(True)
        answer = await sending
        runs.cut_leaves(False)
        assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        for client in runs.clients:
            again = await told(client.run("cut", PULL))
            assert again.run_state is RunState.MAY_HAVE_RUN, again
        assert await runs.runs("cut") == 1

    async def holder_pauses(self, runs):
        first = asyncio.create_task(told(runs.clients[0].run("pause", PULL)))
        await runs.wait_until_run("pause")
        runs.process(0).send_signal(signal.SIGSTOP)
        other = await told(
            runs.clients[1].run("pause", replace(PULL, deadline_ms=500))
        )
        runs.process(0).send_signal(signal.SIGCONT)
        assert not says_not_run(other), other
        assert (await first).state is RunOutcomeState.DONE
        after = await runs.clients[1].look("pause")
        assert after.state is RunOutcomeState.DONE
        assert await runs.runs("pause") == 1

    async def platform_outage_while_running(self, runs):
        first = asyncio.create_task(told(runs.clients[0].run("out", PULL)))
        await runs.wait_until_run("out")
        await runs.platform(outage=True)
        assert (await first).state is RunOutcomeState.DONE
        other = await told(runs.clients[1].run("out", PULL))
        assert other.run_state is RunState.MAY_HAVE_RUN, other
        await runs.platform()

        async def stored():
            outcome = await runs.clients[1].look("out")
            return outcome.state is RunOutcomeState.DONE

        await wait_until(stored)
        assert await runs.runs("out") == 1

    async def platform_outage_before(self, runs):
        await runs.platform(outage=True)
        answer = await told(runs.clients[0].run("early", PULL))
        assert answer.status == 503, answer
        assert answer.retry_after_s
        assert await runs.runs("early") == 0
        await runs.platform()
        again = await told(runs.clients[0].run("early", PULL))
        assert again.state is RunOutcomeState.DONE, again
        assert await runs.runs("early") == 1

    async def other_body_under_the_key(self, runs):
        other = replace(PULL, argument="dossier 8")
        answer = await told(runs.clients[2].run("early", other))
        assert answer.status == 422
        closed = await runs.clients[0].withdraw("unsent")
        assert closed.state is RunOutcomeState.NOT_RUN
        assert says_not_run(await told(runs.clients[1].run("unsent", PULL)))
        assert await runs.runs("unsent") == 0

    async def holder_dies(self, runs):
        dying = asyncio.create_task(told(runs.clients[0].run("dead", PULL)))
        await runs.wait_until_run("dead")
        await runs.process(0).stop(signal.SIGKILL)
        assert isinstance(await dying, TransportError)
        for client in runs.clients[1:]:
            answer = await told(client.run("dead", PULL))
            assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        await runs.fleet.start_instance(runs.names[0])
        for client in runs.clients:
            answer = await told(client.run("dead", PULL))
            assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        assert await runs.runs("dead") == 1

    def test_ticket_without_the_platform(self, tmp_path):
        asyncio.run(self.ticket(tmp_path))

    async def ticket(self, directory):
        async with run_fleet(directory, RunOnceMode.TICKET) as runs:
            await runs.platform(outage=True)
            used, dying, unused = await runs.clients[0].tickets(3)
            answers = await retry_elsewhere(runs, used)
            assert {a.state for a in answers} == {RunOutcomeState.DONE}
            assert await runs.runs(used) == 1
            closed = await runs.clients[2].withdraw(unused)
            assert closed.state is RunOutcomeState.NOT_RUN
            assert says_not_run(await told(runs.clients[1].run(unused, PULL)))
            sending = asyncio.create_task(
                told(runs.clients[1].run(dying, PULL))
            )
            await runs.wait_until_run(dying)
            await runs.process(0).stop(signal.SIGKILL)
            assert (await sending).run_state is RunState.MAY_HAVE_RUN
            again = await told(runs.clients[2].run(dying, PULL))
            assert again.run_state is RunState.MAY_HAVE_RUN
            assert await runs.runs(dying) == 1
            assert await runs.runs(unused) == 0


class TestRefusalIsTrue:
    async def refuse(self, directory, disable=""):
        """Ask an instance for a key that another one is running."""
        async with run_fleet(directory, RunOnceMode.RECORDED, disable) as runs:
            first = asyncio.create_task(told(runs.clients[0].run("k", PULL)))
            await runs.wait_until_run("k")
            await runs.platform(outage=True)
            answer = await told(runs.clients[1].run("k", PULL))
            await first
            return says_not_run(answer), await runs.runs("k")

    def test_is_false_without_the_mechanism(self, tmp_path):
        not_run, count = asyncio.run(self.refuse(tmp_path, "truthful-refusal"))
        assert (not_run, count) == (True, 1)

    def test_is_true(self, tmp_path):
        not_run, count = asyncio.run(self.refuse(tmp_path))
        assert (not_run, count) == (False, 1)
