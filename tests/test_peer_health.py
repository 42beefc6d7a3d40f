"""Homes that do not answer are avoided for a while."""

from heatherdyke.membership.peer_health import SUSPECT_S
from heatherdyke.membership.peer_health import PeerHealth


class TestPeerHealth:
    def test_one_silence_is_no_suspicion(self):
        health = PeerHealth()
        health.record_timeout("a", 0.0)
        assert not health.is_suspect("a", 0.0)

    def test_silence_twice_in_a_row_is(self):
        health = PeerHealth()
        health.record_timeout("a", 0.0)
        health.record_timeout("a", 0.1)
        assert health.is_suspect("a", 0.1)
        assert not health.is_suspect("a", 0.1 + SUSPECT_S)

    def test_an_answer_ends_it(self):
        health = PeerHealth()
        health.record_failure("a", 0.0)
        health.record_success("a")
        assert not health.is_suspect("a", 0.0)

    def test_a_home_still_silent_is_suspected_again_at_once(self):
        health = PeerHealth()
        health.record_failure("a", 0.0)
        health.record_timeout("a", 2.0)
        assert health.is_suspect("a", 2.0)

    def test_this_instance_is_never_suspected(self):
        health = PeerHealth()
        health.record_failure(None, 0.0)
        assert not health.is_suspect(None, 0.0)
