"""Homes that do not respond are avoided for a while."""

from heatherdyke.membership.peer_health import SUSPECT_S
from heatherdyke.membership.peer_health import PeerHealth


class TestPeerHealth:
    def test_one_timeout_does_not_make_a_home_suspect(self):
        health = PeerHealth()
        health.record_timeout("a", 0.0)
        assert not health.is_suspect("a", 0.0)

    def test_two_timeouts_in_a_row_make_it_suspect(self):
        health = PeerHealth()
        health.record_timeout("a", 0.0)
        health.record_timeout("a", 0.1)
        assert health.is_suspect("a", 0.1)
        assert not health.is_suspect("a", 0.1 + SUSPECT_S)

    def test_a_response_clears_the_suspicion(self):
        health = PeerHealth()
        health.record_failure("a", 0.0)
        health.record_success("a")
        assert not health.is_suspect("a", 0.0)

    def test_one_more_timeout_renews_the_suspicion(self):
        health = PeerHealth()
        health.record_failure("a", 0.0)
        health.record_timeout("a", 2.0)
        assert health.is_suspect("a", 2.0)

    def test_this_instance_is_never_suspected(self):
        health = PeerHealth()
        health.record_failure(None, 0.0)
        assert not health.is_suspect(None, 0.0)
