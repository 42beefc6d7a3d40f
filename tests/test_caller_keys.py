"""Callers are authenticated by key and limited to their team's services."""

import pytest

from heatherdyke.callers.authentication import CallerKeys
from heatherdyke.callers.authentication import hash_key
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import ServiceConfig
from heatherdyke.request_errors import Forbidden
from heatherdyke.request_errors import UnknownKey
from heatherdyke.request_errors import UnknownService


def _keys() -> CallerKeys:
    permits = SectionConfig(
        team="permits",
        services={"permit-search": ServiceConfig("ledger", {})},
        key_hashes=[hash_key("permits-key").upper()],
        readers=["inspectors"],
    )
    inspectors = SectionConfig("inspectors", key_hashes=[hash_key("i")])
    billing = SectionConfig("billing", key_hashes=[hash_key("b")])
    return CallerKeys.from_document(
        ConfigDocument(
            1,
            {s.team: s for s in (permits, inspectors, billing)},
        )
    )


class TestCallerKeys:
    def test_a_key_identifies_its_team(self):
        assert _keys().find_team("Bearer permits-key") == "permits"
        assert _keys().find_team("bearer i") == "inspectors"

    @pytest.mark.parametrize(
        "header", [None, "", "Bearer ", "Basic i", "Bearer nothing", "i"]
    )
    def test_a_missing_or_unknown_key_is_rejected(self, header):
        with pytest.raises(UnknownKey):
            _keys().find_team(header)

    def test_owner_and_readers_may_use_a_service(self):
        keys = _keys()
        assert keys.check_access("permits", "permit-search").team == "permits"
        assert keys.check_access("inspectors", "permit-search")
        with pytest.raises(Forbidden):
            keys.check_access("billing", "permit-search")
        with pytest.raises(UnknownService):
            keys.check_access("billing", "nothing")
