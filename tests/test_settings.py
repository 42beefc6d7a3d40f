"""Validation of an instance's settings reports all faults at once."""

import pytest

from heatherdyke.errors import SettingsError
from heatherdyke.mechanisms import Mechanism
from heatherdyke.settings import Settings


class TestSettings:
    def test_all_faults_are_reported_at_once(self):
        with pytest.raises(SettingsError) as caught:
            Settings.from_values(
                name="",
                zone="brescia",
                listen="localhost:1",
                internal_listen="127.0.0.1:3",
                peer_key="short",
                platform="127.0.0.1:1",
                lease_s=0.0,
                disabled="hedging,nothing",
            )
        assert len(caught.value.faults) == 5

    def test_mechanisms_are_disabled_by_name(self):
        settings = Settings.from_values(
            name="a",
            zone="brescia",
            listen="127.0.0.1:1",
            internal_listen="127.0.0.1:3",
            peer_key="a key of this test",
            platform="127.0.0.1:2",
            disabled="hedging",
        )
        assert not settings.is_enabled(Mechanism.HEDGING)
        assert settings.is_enabled(Mechanism.COLD_RAMP)
