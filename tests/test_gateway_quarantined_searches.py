"""Searches that crash leafs, at one instance and without network."""

from instance_scenarios import OWN_ZONE
from instance_scenarios import SHARDS
from instance_scenarios import add_leafs
from instance_scenarios import client_request
from instance_scenarios import requests_in_flight
from instance_scenarios import search
from instance_scenarios import serve_group
from instance_scenarios import with_shared

from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.peer_messages import QuarantineNews
from heatherdyke.gateway.peer_send import STATUS_QUARANTINED
from heatherdyke.gateway.quarantine import PROBE_TIMES_S
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.request_key import request_key
from heatherdyke.gateway.shared_state import SharedState


class TestOneCallerCrashesLeafs:
    """A search that crashes its leafs is repeated by its caller."""

    def key_of_search(self, shared: SharedState) -> str:
        return request_key(client_request(shared))

    def take_for(self, shared: SharedState, level: Level) -> None:
        verdict = Verdict(self.key_of_search(shared), level, crashes=3)
        now = shared.loop.time()
        shared.crash_guard.quarantine.apply(verdict, now)

    def test_it_is_refused_at_once_with_the_time_of_the_next_try(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
            self.take_for(shared, Level.CRASHING)
            (answer,) = search(shared)
            assert answer.status == 503
            ((_, after_s),) = answer.headers
            assert float(after_s) >= PROBE_TIMES_S[0]
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    def test_a_suspect_one_is_sent_to_one_leaf_first(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
            self.take_for(shared, Level.SUSPECT)
            assert search(shared) == []
            assert requests_in_flight(shared) == 1

        with_shared(scenario)

    def test_other_instances_do_not_query_its_shards(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
            self.take_for(shared, Level.SUSPECT)
            answer = serve_group(shared)
            assert answer.status == STATUS_QUARANTINED
            assert requests_in_flight(shared) == 0

        with_shared(scenario)

    # Guards against callers that are refused a popular search because it was
    # in flight when leafs crashed.
    def test_a_search_that_another_leaf_has_completed_stays_served(self):
        def scenario(shared: SharedState) -> None:
            add_leafs(shared, dict.fromkeys(SHARDS, OWN_ZONE))
            sync = QuarantineSync(shared)
            request = client_request(shared)
            shared.crash_guard.record_completed(request, "leaf", 0.0)
            key = request_key(request)
            sync.handle(
                QuarantineNews(
                    [
                        CrashSighting(key, f"r{x}", f"l{x}", True, "s", "/s/x")
                        for x in range(9)
                    ]
                )
            )
            reply = sync.handle(
                QuarantineNews(verdicts=[Verdict(key, Level.CRASHING)])
            )
            (objection,) = reply.verdicts
            assert objection.level == Level.CLEAR
            assert search(shared) == []
            assert requests_in_flight(shared) == len(SHARDS)

        with_shared(scenario)

    # Guards against an instance that was cut off and then learns of a verdict
    # that has been lifted meanwhile.
    def test_a_lifted_verdict_is_not_sent_again(self):
        def scenario(shared: SharedState) -> None:
            sync = QuarantineSync(shared)
            verdict = Verdict("k", Level.SUSPECT)
            sync.apply(verdict, "crashes")
            (name,) = shared.peers.names()
            peer = shared.peers.find(name)
            sync._send(name, QuarantineNews(verdicts=[verdict]), sends=2)
            assert len(peer.sent_at_by_attempt) == 1
            sync.apply(Verdict("k", Level.CLEAR), "completed")
            sync._send(name, QuarantineNews(verdicts=[verdict]), sends=3)
            assert len(peer.sent_at_by_attempt) == 1

        with_shared(scenario)
