"""Tests of gateway processes with a stand-in store, leafs and clients."""

import asyncio

from gateway_fleet import config
from gateway_fleet import send_request
from gateway_scenarios import CONFIG
from gateway_scenarios import ONE
from gateway_scenarios import SHARDS
from gateway_scenarios import UNSAFE
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from gateway_scenarios import set_up_search
from gateway_scenarios import until
from msgspec import Raw

from heatherdyke.platform_standin.leaf import Behaviour
from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_model import RouteFaults
from heatherdyke.standin.fault_proxy_tcp import TcpRoute

# The default of the setting.
STABILITY_S = 4.0


class TestSearch:
    def test_the_greatest_records_of_all_shards_are_merged(self, tmp_path):
        async def scenario(fleet):
            await set_up_search(fleet)
            gateway = await ready_gateway(fleet)
            answer = await send_request(gateway, "/s/x?q=1", "r1")
            assert answer.status == 200
            assert answer.value_by_header["x-missing-parts"] == "0"
            signatures = answer.value_by_header["x-part-stamps"].split(", ")
            assert len(set(signatures)) == len(SHARDS)
            assert len(answer.body) == 20 * 16
            records = [answer.body[at : at + 16] for at in range(0, 320, 16)]
            assert records == sorted(records, reverse=True)
            received_requests = [
                arrival
                for leaf in fleet.leafs
                for arrival in leaf.received_requests
            ]
            assert {arrival.request_id for arrival in received_requests} == {
                b"r1"
            }
            assert {arrival.target for arrival in received_requests} == {
                b"/s/x?q=1"
            }
            assert all(
                arrival.remaining_s < 1.5 for arrival in received_requests
            )

        run(scenario, tmp_path)

    def test_a_silent_leaf_is_hedged_without_losing_its_shard(self, tmp_path):
        async def scenario(fleet):
            await set_up_search(fleet)
            fleet.leafs[0].behaviour = Behaviour.SILENT
            gateway = await ready_gateway(fleet)
            for number in range(5):
                answer = await send_request(gateway, "/s/x", f"r{number}")
                assert answer.value_by_header["x-missing-parts"] == "0"

        run(scenario, tmp_path)

    def test_failed_shards_are_missing_from_the_answer(self, tmp_path):
        async def scenario(fleet):
            await set_up_search(fleet)
            for leaf in fleet.leafs[:2]:
                leaf.behaviour = Behaviour.FAIL
            gateway = await ready_gateway(fleet)
            answer = await send_request(gateway, "/s/x", "r1")
            assert answer.status == 200
            assert answer.value_by_header["x-missing-parts"] == "1"
            assert SHARDS[0] not in answer.value_by_header["x-part-stamps"]

        run(scenario, tmp_path)

    def test_a_search_with_too_few_shards_is_refused_with_retry_after(
        self, tmp_path
    ):
        async def scenario(fleet):
            await set_up_search(fleet)
            gateway = await ready_gateway(fleet)
            for leaf in fleet.leafs[:8]:
                fleet.store.delete("servers", leaf.leaf_id)
            await until(
                lambda: fleet.read_log(gateway).count('"entry_gone"') == 8
            )
            answer = await send_request(gateway, "/s/x", "r1")
            assert answer.status == 503
            assert 0 < float(answer.value_by_header["retry-after"]) < 1
            assert not any(leaf.received_requests for leaf in fleet.leafs)

        run(scenario, tmp_path)


class TestGroupsOfShards:
    def test_an_instance_near_the_leafs_queries_and_merges(self, tmp_path):
        async def scenario(fleet):
            await set_up_search(fleet)
            near = await ready_gateway(fleet, "near", "brescia")
            far = await ready_gateway(fleet, "far", "verona")
            await until(lambda: "heatherdyke-instances" in called_kinds(fleet))
            await asyncio.sleep(0.2)
            answer = await send_request(far, "/s/x", "r1")
            assert answer.status == 200
            assert answer.value_by_header["x-missing-parts"] == "0"
            assert len(answer.body) == 20 * 16
            near.kill()
            await near.process.wait()
            answer = await send_request(far, "/s/x", "r2")
            assert answer.status == 200
            assert answer.value_by_header["x-missing-parts"] == "0"
            runs = [run_id for leaf in fleet.leafs for run_id in leaf.runs]
            assert runs.count(b"r2") >= len(SHARDS)

        def called_kinds(fleet):
            return {key.split()[1] for key in fleet.store.calls}

        run(scenario, tmp_path)


class TestConfiguration:
    def test_requests_before_the_first_configuration_get_503(self, tmp_path):
        async def scenario(fleet):
            gateway = await fleet.add_gateway("a")
            await until(lambda: "gateway_started" in fleet.read_log(gateway))
            answer = await send_request(gateway, "/o/x", "r1")
            assert answer.status == 503
            assert not await gateway.is_ready()

        run(scenario, tmp_path)

    def test_a_newer_version_is_applied_and_an_older_one_is_not(
        self, tmp_path
    ):
        async def scenario(fleet):
            await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            assert (await send_request(gateway, "/o/x", "r1")).status == 200
            fleet.set_config(config(8, [UNSAFE], ["one"]))
            await until(lambda: '"version":8' in fleet.read_log(gateway))
            assert (await send_request(gateway, "/o/x", "r2")).status == 404
            fleet.set_config(CONFIG)
            await asyncio.sleep(0.3)
            assert (await send_request(gateway, "/o/x", "r3")).status == 404

        run(scenario, tmp_path)

    def test_the_last_configuration_stays_active_after_an_invalid_one(
        self, tmp_path
    ):
        async def scenario(fleet):
            await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            fleet.set_config({"version": "nine"})
            await until(lambda: "routing_rejected" in fleet.read_log(gateway))
            assert (await send_request(gateway, "/o/x", "r1")).status == 200

        run(scenario, tmp_path)


class TestSilentStore:
    def test_a_change_is_applied_in_time(self, tmp_path):
        """Open connections to the store pass nothing; new ones work.

        A version counts from its acknowledgement, so the watch that lost it
        has to time out before connections are stable again (review/5).
        """

        async def scenario(fleet):
            await set_up_forwarding(fleet)
            target = str(fleet.store.listener.address)
            silent = TcpRoute(RouteConfig("store", "127.0.0.1:0", target))
            await silent.start()
            gateway = await fleet.add_gateway("a", store=silent.address)
            await gateway.wait_ready()
            calls = fleet.store.calls["GET config"]
            await until(lambda: fleet.store.calls["GET config"] > calls)
            silent.set_faults(RouteFaults(silent=True))
            silent.set_faults(RouteFaults())
            fleet.set_config(config(9, [ONE], ["one"]))
            applied = '"event":"routing_adopted"'
            await until(
                lambda: '"version":9' in fleet.read_log(gateway), STABILITY_S
            )
            assert applied in fleet.read_log(gateway)
            await silent.stop()

        run(scenario, tmp_path)


class TestStore:
    def test_an_invalid_entry_is_ignored_without_affecting_others(
        self, tmp_path
    ):
        async def scenario(fleet):
            fleet.store.put("servers", "bad-1", {"service": 7})
            fleet.store.put("servers", "bad-2", None)
            fleet.store.put("servers", "bad-3", {"state": "asleep"})
            await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            assert (await send_request(gateway, "/o/x", "r1")).status == 200
            log = fleet.read_log(gateway)
            assert log.count("leaf_entry_unreadable") == 3

        run(scenario, tmp_path)

    def test_an_unreadable_entry_stops_neither_watches_nor_a_start(
        self, tmp_path
    ):
        """One made all lists and watches of leafs fail (review/1)."""
        unreadable = (
            rb'{"service":"one","version":"v1 \ud83d"}',
            b'{"service":"one","slots":NaN}',
            b'{"service":"one","x":' + b"[" * 1100 + b"]" * 1100 + b"}",
        )

        async def scenario(fleet):
            first, second, third = await set_up_forwarding(fleet, 3)
            gateway = await ready_gateway(fleet)
            for number, spec in enumerate(unreadable):
                fleet.store.put("servers", f"odd-{number}", Raw(spec))
            fleet.store.put("servers", third.leaf_id, Raw(unreadable[0]))
            await until(
                lambda: "leaf_entry_unreadable" in fleet.read_log(gateway)
            )
            second.sequence += 1
            fleet.store.put("servers", "one-1", second.entry(draining=True))
            await until(
                lambda: '"state":"draining"' in fleet.read_log(gateway)
            )
            gateway.kill()
            await gateway.process.wait()
            await fleet.start_process(gateway)
            await gateway.wait_ready()
            for number in range(5):
                answer = await send_request(gateway, "/o/x", f"r{number}")
                assert answer.status == 200
            assert len(first.runs) == 5
            assert "unexpected_error" not in fleet.read_log(gateway)

        run(scenario, tmp_path)

    def test_requests_are_served_while_the_store_is_down(self, tmp_path):
        async def scenario(fleet):
            await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            fleet.store.status = 503
            fleet.store.compact_history()
            await until(lambda: '"store_lost"' in fleet.read_log(gateway))
            assert (await send_request(gateway, "/o/x", "r1")).status == 200
            fleet.store.status = 200
            await until(lambda: '"store_regained"' in fleet.read_log(gateway))
            assert (await send_request(gateway, "/o/x", "r2")).status == 200

        run(scenario, tmp_path)

    def test_everything_is_listed_again_after_the_store_lost_its_history(
        self, tmp_path
    ):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            fleet.store.compact_history()
            late = await fleet.add_leaf(StandinLeaf("one-9", "one"))
            await until(lambda: "one-9" in fleet.read_log(gateway))
            for leaf in leafs:
                fleet.store.delete("servers", leaf.leaf_id)
            await until(
                lambda: fleet.read_log(gateway).count("leaf_removed") == 2
            )
            assert (await send_request(gateway, "/o/x", "r1")).status == 200
            assert late.runs == [b"r1"]

        run(scenario, tmp_path)
