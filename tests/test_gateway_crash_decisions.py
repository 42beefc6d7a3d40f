"""Which request crashes leafs: decisions without network."""

from gateway_entries import SETTINGS

from heatherdyke.gateway.crash_evidence import EVIDENCE_S
from heatherdyke.gateway.crash_evidence import MAX_KEYS
from heatherdyke.gateway.crash_evidence import CrashEvidence
from heatherdyke.gateway.crash_evidence import Level
from heatherdyke.gateway.leaf_crashes import CONFIRM_S
from heatherdyke.gateway.leaf_crashes import NEAR_S
from heatherdyke.gateway.leaf_crashes import SETTLE_S
from heatherdyke.gateway.leaf_crashes import BrokenAttempt
from heatherdyke.gateway.leaf_crashes import CrashSighting
from heatherdyke.gateway.leaf_crashes import LeafCrashes
from heatherdyke.gateway.messages import ClientRequest
from heatherdyke.gateway.quarantine import COMPLETION_S
from heatherdyke.gateway.quarantine import MAX_COMPLETIONS
from heatherdyke.gateway.quarantine import MAX_ENTRIES
from heatherdyke.gateway.quarantine import PROBE_TIMES_S
from heatherdyke.gateway.quarantine import RETENTION_S
from heatherdyke.gateway.quarantine import STALE_LIST_S
from heatherdyke.gateway.quarantine import SUSPECT_S
from heatherdyke.gateway.quarantine import Completions
from heatherdyke.gateway.quarantine import Quarantine
from heatherdyke.gateway.quarantine import Verdict
from heatherdyke.gateway.quarantine_sync import ranked_instances
from heatherdyke.gateway.request_key import request_key


def client_request(**fields) -> ClientRequest:
    values = {
        "method": b"GET",
        "target": b"/s/x?page=1",
        "headers": [(b"Host", b"shop.example"), (b"X-Request-Id", b"r1")],
        "body": b"",
        "host": "shop.example",
        "request_id": b"r1",
        "wait_s": 1.0,
        "arrived_at": 0.0,
    }
    return ClientRequest(**{**values, **fields})


def sighting(
    leaf: str, attempt: str = "r1", alone: bool = True, key: str = "k"
) -> CrashSighting:
    return CrashSighting(key, attempt, leaf, alone, "route", "/s/x")


def broken(key: str, at: float, attempt: str = "r1") -> BrokenAttempt:
    return BrokenAttempt(key, attempt, "route", "/s/x", at)


def level_after(*sightings: CrashSighting) -> Level:
    evidence = CrashEvidence()
    levels = [evidence.add(item, 1.0).level for item in sightings]
    return levels[-1]


class TestRequestKey:
    def test_another_attempt_has_the_same_key(self):
        headers = [
            (b"host", b"SHOP.example"),
            (b"X-Request-Id", b"r2"),
            (b"X-Deadline-Remaining", b"12"),
            (b"User-Agent", b"other"),
        ]
        again = client_request(headers=headers, request_id=b"r2", wait_s=0.1)
        assert request_key(again) == request_key(client_request())

    def test_other_requests_have_other_keys(self):
        host = (b"Host", b"shop.example")
        others = [
            client_request(),
            client_request(method=b"POST"),
            client_request(target=b"/s/x?page=2"),
            client_request(body=b"y"),
            client_request(headers=[(b"Host", b"other.example")]),
            client_request(headers=[host, (b"Authorization", b"a")]),
            client_request(headers=[host, (b"Authorization", b"b")]),
            client_request(headers=[host, (b"X-Api-Key", b"a")]),
        ]
        assert len({request_key(item) for item in others}) == len(others)


class TestLeafCrashes:
    def test_a_broken_connection_to_a_live_leaf_is_no_crash(self):
        crashes = LeafCrashes()
        crashes.record_broken("leaf", broken("k", 1.0))
        crashes.record_alive("leaf", sent_at=1.01)
        assert not crashes.record_down("leaf", 1.1)
        assert crashes.take_sightings(2.0) == []

    def test_a_response_to_an_earlier_request_does_not_show_it_alive(self):
        crashes = LeafCrashes()
        crashes.record_broken("leaf", broken("k", 1.0))
        crashes.record_alive("leaf", sent_at=0.9)
        assert crashes.record_down("leaf", 1.1)

    def test_a_leaf_found_down_much_later_crashed_for_another_reason(self):
        crashes = LeafCrashes()
        crashes.record_broken("leaf", broken("k", 1.0))
        assert not crashes.record_down("leaf", 1.1 + CONFIRM_S)

    def test_each_crash_is_reported_once_when_it_has_settled(self):
        crashes = LeafCrashes()
        crashes.record_broken("leaf", broken("k", 1.0))
        crashes.record_down("leaf", 1.1)
        assert crashes.take_sightings(1.1 + SETTLE_S / 2) == []
        (found,) = crashes.take_sightings(1.1 + 2 * SETTLE_S)
        assert (found.key, found.leaf, found.alone) == ("k", "leaf", True)
        assert crashes.take_sightings(2.0) == []

    def test_a_crash_of_another_leaf_at_the_same_time_is_noted(self):
        crashes = LeafCrashes()
        crashes.record_broken("leaf", broken("k", 1.0))
        crashes.record_down("leaf", 1.1)
        crashes.record_down("other", 1.0 + NEAR_S / 2)
        (found,) = crashes.take_sightings(2.0)
        assert not found.alone

    def test_crashes_of_all_leafs_of_a_search_have_it_as_one_cause(self):
        crashes = LeafCrashes()
        for leaf in ("one", "two"):
            crashes.record_broken(leaf, broken("k", 1.0))
            crashes.record_down(leaf, 1.1)
        assert [x.alone for x in crashes.take_sightings(2.0)] == [True, True]

    def test_a_leaf_that_stays_down_does_not_crash_anew(self):
        crashes = LeafCrashes()
        crashes.record_down("other", 0.1)
        crashes.record_down("other", 1.0)
        crashes.record_broken("leaf", broken("k", 1.0))
        crashes.record_down("leaf", 1.1)
        (found,) = crashes.take_sightings(2.0)
        assert found.alone


class TestCrashEvidence:
    """The pattern: leafs crash, and many requests were in flight there."""

    def test_one_crash_says_little(self):
        assert level_after(sighting("a")) is Level.CLEAR

    def test_crashes_under_one_attempt_make_a_request_suspect(self):
        found = [sighting(leaf) for leaf in "abcdefgh"]
        assert level_after(*found) is Level.SUSPECT

    def test_a_second_attempt_with_a_crash_confirms_it(self):
        found = [sighting("a"), sighting("b"), sighting("c", "r2")]
        assert level_after(*found) is Level.CRASHING

    def test_three_attempts_with_one_crash_each_confirm_it(self):
        found = [sighting(leaf, f"r{leaf}") for leaf in "abc"]
        assert level_after(*found) is Level.CRASHING

    # Guards against callers refused because many leafs crashed at once.
    def test_a_search_in_flight_when_many_leafs_crash_is_not_suspect(self):
        found = [sighting(leaf, alone=False) for leaf in "abcdefgh"]
        assert level_after(*found) is Level.CLEAR
        found += [sighting(leaf, "r2", alone=False) for leaf in "abcdefgh"]
        assert level_after(*found) is Level.SUSPECT

    def test_the_same_crash_counts_once(self):
        assert level_after(*[sighting("a")] * 5) is Level.CLEAR

    def test_a_leaf_that_came_back_can_crash_again(self):
        found = [sighting("a", f"r{number}") for number in range(3)]
        assert level_after(*found) is Level.CRASHING

    def test_old_evidence_is_dropped(self):
        evidence = CrashEvidence()
        evidence.add(sighting("a"), 1.0)
        evidence.add(sighting("b", "r2"), 2.0)
        later = evidence.add(sighting("c", "r3"), 3.0 + EVIDENCE_S)
        assert later.level is Level.CLEAR

    def test_memory_is_bounded_against_many_different_requests(self):
        evidence = CrashEvidence()
        for number in range(MAX_KEYS + 10):
            evidence.add(sighting("a", key=f"k{number}"), 1.0)
        assert len(evidence) == MAX_KEYS


class TestQuarantine:
    def crashing(self, key: str = "k", **fields) -> Verdict:
        return Verdict(key, Level.CRASHING, crashes=3, **fields)

    def test_a_lower_level_does_not_replace_a_higher_one(self):
        quarantine = Quarantine()
        assert quarantine.apply(self.crashing(), 1.0)
        assert not quarantine.apply(Verdict("k", Level.SUSPECT), 1.0)
        assert quarantine.find("k", 1.0).level is Level.CRASHING

    def test_a_request_that_a_leaf_completed_is_lifted(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(), 1.0)
        assert quarantine.apply(Verdict("k", Level.CLEAR), 2.0)
        assert quarantine.find("k", 2.0) is None

    # Guards against a request that each instance of a partition tries again.
    def test_it_is_tried_again_three_times_by_all_instances_together(self):
        entries = []
        for _ in range(6):
            quarantine = Quarantine()
            quarantine.apply(self.crashing(), 0.0)
            entries.append(quarantine.find("k", 0.0))
        probes = [
            second
            for second in range(int(RETENTION_S))
            for rank, entry in enumerate(entries)
            if entry.take_probe(rank, float(second))
        ]
        assert probes == list(PROBE_TIMES_S)

    def test_an_instance_that_restarts_after_its_time_does_not_try_it(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(age_s=PROBE_TIMES_S[0] + 1), 1000.0)
        assert not quarantine.find("k", 1000.0).take_probe(0, 1001.0)

    def test_the_time_to_come_back_is_that_of_the_next_try(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(), 0.0)
        entry = quarantine.find("k", 0.0)
        assert entry.retry_after_s(10.0) == PROBE_TIMES_S[0] - 10.0
        last = PROBE_TIMES_S[-1]
        assert entry.retry_after_s(last) == RETENTION_S - last

    def test_entries_end(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(), 0.0)
        quarantine.apply(Verdict("s", Level.SUSPECT), 0.0)
        assert quarantine.find("s", SUSPECT_S + 1) is None
        assert quarantine.find("k", SUSPECT_S + 1) is not None
        assert quarantine.find("k", RETENTION_S + 1) is None

    def test_memory_is_bounded_against_many_different_requests(self):
        quarantine = Quarantine()
        for number in range(MAX_ENTRIES + 10):
            quarantine.apply(self.crashing(f"k{number}"), 1.0)
        assert len(quarantine.entry_by_key) == MAX_ENTRIES

    def test_an_old_list_of_the_store_does_not_undo_a_lift(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(), 1.0)
        quarantine.apply(Verdict("k", Level.CLEAR), 2.0)
        assert not quarantine.apply_listed(self.crashing(), 3.0)
        assert quarantine.apply_listed(self.crashing(), 3.0 + STALE_LIST_S)

    # Guards against an instance that was told that a request is suspect, but
    # not that it is quarantined, and sends it on.
    def test_a_list_of_the_store_raises_the_level_at_once(self):
        quarantine = Quarantine()
        quarantine.apply(Verdict("k", Level.SUSPECT), 1.0)
        assert quarantine.apply_listed(self.crashing(), 2.0)
        assert quarantine.find("k", 2.0).level is Level.CRASHING

    def test_an_operator_lifts_an_entry_in_the_store(self):
        quarantine = Quarantine()
        quarantine.apply(self.crashing(), 1.0)
        lifted = Verdict("k", Level.CLEAR)
        assert not quarantine.apply_listed(lifted, 2.0)
        assert quarantine.apply_listed(lifted, 2.0 + STALE_LIST_S)


class TestCompletions:
    def test_a_recent_completion_clears_a_request_for_a_while(self):
        completions = Completions()
        completions.add("k", 1.0)
        assert completions.is_recent("k", 1.0 + COMPLETION_S)
        assert not completions.is_recent("k", 1.1 + COMPLETION_S)
        assert not completions.is_recent("other", 1.0)

    def test_memory_is_bounded(self):
        completions = Completions()
        for number in range(MAX_COMPLETIONS + 1):
            completions.add(f"k{number}", 1.0)
        assert not completions.is_recent("k0", 1.0)


class TestOwners:
    def test_all_instances_agree_whatever_the_order_of_their_lists(self):
        names = [f"i{number}" for number in range(9)] + [SETTINGS.name]
        expected = ranked_instances("k", names)
        assert ranked_instances("k", names[::-1]) == expected
        assert ranked_instances("other", names) != expected
