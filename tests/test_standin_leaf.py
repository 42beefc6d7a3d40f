"""The stand-in leaf simulates and records a backend server's load."""

import asyncio
from dataclasses import replace

from heatherdyke.codec import decode
from heatherdyke.codec import encode
from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.messages import PeerCancel
from heatherdyke.net.http_connection import HttpConnection
from heatherdyke.standin.leaf import LeafStandin
from heatherdyke.standin.leaf_content import generate_items
from heatherdyke.standin.leaf_content import generate_run_result
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke.standin.leaf_model import LeafProfile

SEARCH = LeafSearch("r1", "s1", 1, "via milano", 5, 1000.0)
RUN = LeafRun("r1", "k1", "s1", "pull", "dossier-7", 1000.0)
PROFILE = LeafProfile("leaf-1", service_ms=5.0, spread=0.0)


async def _post(address, path, message, timeout_s=2.0):
    connection = await HttpConnection.open(address)
    try:
        response = await connection.request(
            "POST", path, encode(message), timeout_s
        )
    finally:
        connection.close()
    kind = LeafAnswer if response.status == 200 else LeafRefusal
    return response.status, decode(response.body, kind)


def _with_leaf(test, **changes):
    async def run():
        leaf = LeafStandin(replace(PROFILE, **changes))
        await leaf.start()
        try:
            await test(leaf)
        finally:
            await leaf.stop()

    asyncio.run(run())


def _searches(leaf, count, **changes):
    return [
        _post(
            leaf.address,
            "/search",
            replace(SEARCH, request_id=f"r{number}", **changes),
        )
        for number in range(count)
    ]


class TestSearch:
    def test_answers_with_reproducible_items(self):
        async def test(leaf):
            status, answer = await _post(leaf.address, "/search", SEARCH)
            assert status == 200
            assert answer.items == generate_items("s1", 1, "via milano")[:5]
            assert answer.total == 20
            assert leaf.record().incarnations[0].searches == 1

        _with_leaf(test)

    def test_limits_concurrency_and_sheds_after_queue_timeout(self):
        async def test(leaf):
            results = await asyncio.gather(*_searches(leaf, 12))
            statuses = [status for status, _ in results]
            record = leaf.record().incarnations[0]
            assert record.at_work_max == 3
            assert record.over_slots == 9
            assert 429 in statuses and 200 in statuses
            assert statuses.count(429) == record.refusals_by_kind["shed"]

        _with_leaf(test, service_ms=40.0)

    def test_refuses_by_deadline_snapshot_split_and_drain(self):
        async def test(leaf):
            late = replace(SEARCH, remaining_ms=2.0)
            assert (await _post(leaf.address, "/search", late))[0] == 504
            gone = replace(SEARCH, snapshot=9)
            status, refusal = await _post(leaf.address, "/search", gone)
            assert (status, refusal.snapshots) == (410, [1])
            leaf.set_faults(LeafFaults(children_by_shard={"s1": ["a", "b"]}))
            status, refusal = await _post(leaf.address, "/search", SEARCH)
            assert (status, refusal.children) == (409, ["a", "b"])
            leaf.set_faults(LeafFaults(drain=True))
            status, refusal = await _post(leaf.address, "/search", SEARCH)
            assert (status, refusal.kind) == (503, "draining")
            assert leaf.record().incarnations[0].draining_arrivals == 1

        _with_leaf(test)

    def test_cancelled_search_frees_its_slot(self):
        async def test(leaf):
            search = asyncio.ensure_future(
                _post(leaf.address, "/search", SEARCH)
            )
            while not leaf.record().incarnations[0].at_work_max:
                await asyncio.sleep(0.001)
            connection = await HttpConnection.open(leaf.address)
            cancel = encode(PeerCancel("r1", ["s1"]))
            await connection.request("POST", "/cancel", cancel)
            assert (await search)[0] == 499
            connection.close()

        _with_leaf(test, service_ms=5000.0)


class TestColdStart:
    def test_sheds_when_cold_concurrency_is_exceeded(self):
        async def test(leaf):
            results = await asyncio.gather(*_searches(leaf, 6))
            record = leaf.record().incarnations[0]
            assert record.cold_excess == 5
            assert 429 in [status for status, _ in results]

        _with_leaf(test, starts_cold=True)

    def test_is_warm_after_successful_searches(self):
        async def test(leaf):
            leaf.set_faults(LeafFaults(go_cold=True))
            for search in _searches(leaf, 3):
                await search
            await asyncio.gather(*_searches(leaf, 3))
            record = leaf.record().incarnations[0]
            assert record.cold_arrivals == 3
            assert record.cold_excess == 0
            assert record.cold_s > 0

        _with_leaf(test, cold_searches=3)

    def test_restart_changes_the_incarnation(self):
        async def test(leaf):
            before = leaf.incarnation
            connection = await HttpConnection.open(leaf.address)
            restart = encode(LeafFaults(restart=True))
            await connection.request("POST", "/admin/faults", restart)
            connection.close()
            _, answer = await _post(leaf.address, "/search", SEARCH)
            assert answer.incarnation != before
            assert len(leaf.record().incarnations) == 2

        _with_leaf(test)


class TestConnections:
    def test_connection_limit_closes_further_connections(self):
        async def test(leaf):
            searches = _searches(leaf, 8)
            results = await asyncio.gather(*searches, return_exceptions=True)
            broken = [r for r in results if isinstance(r, TransportError)]
            record = leaf.record().incarnations[0]
            assert broken
            assert record.connections_refused == len(broken)

        _with_leaf(test, connections=2, service_ms=30.0)

    def test_silent_connection_does_not_answer_while_a_new_one_does(self):
        async def test(leaf):
            old = await HttpConnection.open(leaf.address)
            await old.request("POST", "/search", encode(SEARCH))
            leaf.set_faults(LeafFaults(silent=True))
            try:
                await old.request("POST", "/search", encode(SEARCH), 0.05)
                raise AssertionError("the old connection answered")
            except TransportError as error:
                assert error.sent
            assert (await _post(leaf.address, "/search", SEARCH))[0] == 200

        _with_leaf(test)

    def test_first_request_waits_for_connection_setup(self):
        async def test(leaf):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await _post(leaf.address, "/search", SEARCH)
            assert loop.time() - started_at >= 0.03

        _with_leaf(test, setup_ms=30.0, service_ms=0.1)


class TestAnswerFaults:
    def test_answers_are_swapped_truncated_and_cut(self):
        async def test(leaf):
            leaf.set_faults(
                LeafFaults(cross_answers=1, truncate_answers=1, cut_answers=0)
            )
            results = []
            for search in _searches(leaf, 3):
                results.append((await search)[1])
            assert results[0].truncated
            assert results[1].request_id == "r0"
            assert results[2].request_id == "r2"
            leaf.set_faults(LeafFaults(cut_answers=1))
            (search,) = _searches(leaf, 1)
            try:
                await search
                raise AssertionError("the cut answer arrived complete")
            except TransportError:
                pass

        _with_leaf(test)


class TestRun:
    def test_returns_the_result_and_counts_runs_by_key(self):
        async def test(leaf):
            connection = await HttpConnection.open(leaf.address)
            response = await connection.request("POST", "/run", encode(RUN))
            answer = decode(response.body, LeafRunAnswer)
            assert answer.result == generate_run_result(
                "s1", "pull", "dossier-7"
            )
            await connection.request("POST", "/run", encode(RUN))
            assert leaf.record().incarnations[0].runs_by_key == {"k1": 2}
            connection.close()

        _with_leaf(test)


class TestRestart:
    def test_drops_requests_that_it_has_not_started(self):
        """Requests buffered by a process are lost when it exits."""

        async def test(leaf):
            await _post(leaf.address, "/search", SEARCH)
            connection = await HttpConnection.open(leaf.address)
            await connection.request(
                "POST", "/search", encode(SEARCH), timeout_s=2.0
            )
            (served,) = [c for c in leaf.connections if c.requests_served]
            body = encode(replace(SEARCH, request_id="r2"))
            served.data_received(
                b"POST /search HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
                % len(body)
                + body
            )
            leaf.set_faults(LeafFaults(restart=True))
            await asyncio.sleep(0.05)
            connection.close()
            record = leaf.record().incarnations[-1]
            assert record.searches == 0
            assert record.cold_arrivals == 0

        _with_leaf(test)
