"""Tests that a request runs at most once, with real processes.

The leaves count the runs by key.  Each guarantee is tested with its mechanism
off, where it must be violated, and with the mechanism on, where it must hold.
"""

import asyncio
import signal
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from heatherdyke.callers.client import RequestRefused
from heatherdyke.config.model import RunOnceMode
from heatherdyke.errors import HeatherdykeError
from heatherdyke.errors import TransportError
from heatherdyke.messages import RunOutcomeState
from heatherdyke.messages import RunRequest
from heatherdyke.request_errors import RunState
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

REQUEST = RunRequest("permits00", "pull", "dossier 7", deadline_ms=4000)
RUN_MS = 600.0


def deployment(mode):
    plain = small_deployment(services=1)
    return replace(plain, plans=[replace(plain.plans[0], run_once=mode)])


class RunFleet:
    """A fleet with a client per instance and access to the run counts."""

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
        """Cut all connections to leaves, or restore them."""
        self.fleet.proxy.set_faults(
            ProxyFaults(
                {
                    leaf: RouteFaults(cut=cut)
                    for leaf in self.fleet.leaf_by_name
                }
            )
        )


async def answer_or_error(awaitable):
    """Return the outcome, problem or error that a caller receives."""
    try:
        return await awaitable
    except RequestRefused as error:
        return error.problem
    except HeatherdykeError as error:
        return error


def is_not_run(answer):
    state = getattr(answer, "run_state", getattr(answer, "state", None))
    return state in (RunState.NOT_RUN, RunOutcomeState.NOT_RUN)


@asynccontextmanager
async def run_fleet(directory, mode, disable=""):
    async with start_fleet(
        directory, disable, deployment(mode), run_ms=RUN_MS
    ) as fleet:
        yield RunFleet(fleet)


async def send_to_all(runs, key):
    """Send the request to all instances, as a load balancer's retries do."""
    return await asyncio.gather(
        *(answer_or_error(client.run(key, REQUEST)) for client in runs.clients)
    )


class TestBalancerRetries:
    async def retry(self, directory, mode, disable=""):
        async with run_fleet(directory, mode, disable) as runs:
            key = "pull-1"
            if mode is RunOnceMode.TICKET:
                key = (await runs.clients[0].tickets())[0]
            answers = await send_to_all(runs, key)
            again = await answer_or_error(runs.clients[-1].lookup(key))
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
    def test_runs_once_and_all_callers_get_one_result(self, tmp_path, mode):
        count, answers, again = asyncio.run(self.retry(tmp_path, mode))
        assert count == 1
        assert {a.state for a in answers} == {RunOutcomeState.DONE}
        assert len({a.result for a in [*answers, again]}) == 1


class TestFaults:
    """Faults of a fleet, injected one after another."""

    def test_recorded(self, tmp_path):
        asyncio.run(self.recorded(tmp_path))

    async def recorded(self, directory):
        async with run_fleet(directory, RunOnceMode.RECORDED) as runs:
            await self.record_reply_is_lost(runs)
            await self.connection_breaks_during_the_run(runs)
            await self.holder_pauses(runs)
            await self.platform_outage_while_running(runs)
            await self.platform_outage_before_the_run(runs)
            await self.key_is_reused_or_withdrawn(runs)
            await self.holder_dies(runs)

    async def record_reply_is_lost(self, runs):
        await runs.platform(lose_replies=1)
        answer = await answer_or_error(runs.clients[0].run("lost", REQUEST))
        assert answer.state is RunOutcomeState.DONE, answer
        assert await runs.runs("lost") == 1

    async def connection_breaks_during_the_run(self, runs):
        sending = asyncio.create_task(
            answer_or_error(runs.clients[0].run("cut", REQUEST))
        )
        await runs.wait_until_run("cut")
        runs.cut_leaves(True)
        answer = await sending
        runs.cut_leaves(False)
        assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        for client in runs.clients:
            again = await answer_or_error(client.run("cut", REQUEST))
            assert again.run_state is RunState.MAY_HAVE_RUN, again
        assert await runs.runs("cut") == 1

    async def holder_pauses(self, runs):
        first = asyncio.create_task(
            answer_or_error(runs.clients[0].run("pause", REQUEST))
        )
        await runs.wait_until_run("pause")
        runs.process(0).send_signal(signal.SIGSTOP)
        other = await answer_or_error(
            runs.clients[1].run("pause", replace(REQUEST, deadline_ms=500))
        )
        runs.process(0).send_signal(signal.SIGCONT)
        assert not is_not_run(other), other
        assert (await first).state is RunOutcomeState.DONE
        after = await runs.clients[1].lookup("pause")
        assert after.state is RunOutcomeState.DONE
        assert await runs.runs("pause") == 1

    async def platform_outage_while_running(self, runs):
        first = asyncio.create_task(
            answer_or_error(runs.clients[0].run("out", REQUEST))
        )
        await runs.wait_until_run("out")
        await runs.platform(outage=True)
        assert (await first).state is RunOutcomeState.DONE
        other = await answer_or_error(runs.clients[1].run("out", REQUEST))
        assert other.run_state is RunState.MAY_HAVE_RUN, other
        await runs.platform()

        async def stored():
            outcome = await runs.clients[1].lookup("out")
            return outcome.state is RunOutcomeState.DONE

        await wait_until(stored)
        assert await runs.runs("out") == 1

    async def platform_outage_before_the_run(self, runs):
        await runs.platform(outage=True)
        answer = await answer_or_error(runs.clients[0].run("early", REQUEST))
        assert answer.status == 503, answer
        assert answer.retry_after_s
        assert await runs.runs("early") == 0
        await runs.platform()
        again = await answer_or_error(runs.clients[0].run("early", REQUEST))
        assert again.state is RunOutcomeState.DONE, again
        assert await runs.runs("early") == 1

    async def key_is_reused_or_withdrawn(self, runs):
        other = replace(REQUEST, argument="dossier 8")
        answer = await answer_or_error(runs.clients[2].run("early", other))
        assert answer.status == 422
        closed = await runs.clients[0].withdraw("unsent")
        assert closed.state is RunOutcomeState.NOT_RUN
        assert is_not_run(
            await answer_or_error(runs.clients[1].run("unsent", REQUEST))
        )
        assert await runs.runs("unsent") == 0

    async def holder_dies(self, runs):
        dying = asyncio.create_task(
            answer_or_error(runs.clients[0].run("dead", REQUEST))
        )
        await runs.wait_until_run("dead")
        await runs.process(0).stop(signal.SIGKILL)
        assert isinstance(await dying, TransportError)
        for client in runs.clients[1:]:
            answer = await answer_or_error(client.run("dead", REQUEST))
            assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        await runs.fleet.start_instance(runs.names[0])
        for client in runs.clients:
            answer = await answer_or_error(client.run("dead", REQUEST))
            assert answer.run_state is RunState.MAY_HAVE_RUN, answer
        assert await runs.runs("dead") == 1

    def test_ticket_without_the_platform(self, tmp_path):
        asyncio.run(self.ticket(tmp_path))

    async def ticket(self, directory):
        async with run_fleet(directory, RunOnceMode.TICKET) as runs:
            await runs.platform(outage=True)
            used, dying, unused = await runs.clients[0].tickets(3)
            answers = await send_to_all(runs, used)
            assert {a.state for a in answers} == {RunOutcomeState.DONE}
            assert await runs.runs(used) == 1
            closed = await runs.clients[2].withdraw(unused)
            assert closed.state is RunOutcomeState.NOT_RUN
            assert is_not_run(
                await answer_or_error(runs.clients[1].run(unused, REQUEST))
            )
            sending = asyncio.create_task(
                answer_or_error(runs.clients[1].run(dying, REQUEST))
            )
            await runs.wait_until_run(dying)
            await runs.process(0).stop(signal.SIGKILL)
            assert (await sending).run_state is RunState.MAY_HAVE_RUN
            again = await answer_or_error(runs.clients[2].run(dying, REQUEST))
            assert again.run_state is RunState.MAY_HAVE_RUN
            assert await runs.runs(dying) == 1
            assert await runs.runs(unused) == 0


class TestRefusalRunState:
    async def refuse(self, directory, disable=""):
        """Send a key to an instance while another instance runs it."""
        async with run_fleet(directory, RunOnceMode.RECORDED, disable) as runs:
            first = asyncio.create_task(
                answer_or_error(runs.clients[0].run("k", REQUEST))
            )
            await runs.wait_until_run("k")
            await runs.platform(outage=True)
            answer = await answer_or_error(runs.clients[1].run("k", REQUEST))
            await first
            return is_not_run(answer), await runs.runs("k")

    def test_is_untruthful_without_the_mechanism(self, tmp_path):
        not_run, count = asyncio.run(self.refuse(tmp_path, "truthful-refusal"))
        assert (not_run, count) == (True, 1)

    def test_is_truthful(self, tmp_path):
        not_run, count = asyncio.run(self.refuse(tmp_path))
        assert (not_run, count) == (False, 1)
