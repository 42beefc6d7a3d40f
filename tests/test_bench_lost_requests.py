"""The report of late, refused and failed requests, read from gateway logs."""

import json

import pytest
from typer.testing import CliRunner

from heatherdyke_bench.__main__ import app
from heatherdyke_bench.errors import LogError
from heatherdyke_bench.lost_requests import count_lost
from heatherdyke_bench.lost_requests import format_lost


def line(second: int, event: str, prefix: str = "", **fields) -> str:
    data = {
        "time": f"2026-01-01T00:00:{second:02}+00:00",
        "instance": "a",
        "event": event,
        "at_s": 1.0,
        **fields,
    }
    return prefix + json.dumps(data)


LINES = [
    line(0, "gateway_started"),
    line(1, "request_served", route="r", late=False),
    line(1, "search_partial", " 1.0 a ", route="r", late=True),
    line(3, "request_refused", route="r", why="no_leaf"),
    line(3, "request_failed", route="r", why="timeout: ['s:i-1']"),
    line(3, "request_failed", route="q", why="timeout: []"),
    line(3, "request_refused", route="", why="no_route"),
    line(4, "log_limited", left_out_by_event={"request_served": 7}),
    "no log line",
]


class TestLostRequests:
    def test_ends_are_counted_by_interval_and_route(self):
        result = count_lost(LINES, 2.0)
        assert set(result.interval_by_key) == {
            (0.0, "r"),
            (2.0, "r"),
            (2.0, "q"),
        }
        assert result.interval_by_key[0.0, "r"].lost == 1
        assert result.interval_by_key[2.0, "r"].count_by_reason == {
            "no_leaf": 1,
            "timeout": 1,
        }
        assert result.dropped_lines == 7

    def test_the_table_names_the_reasons(self):
        table = format_lost(count_lost(LINES, 2.0))
        assert "| 0 | r | 1 | 1 | 0 | 0 | 0 |  |" in table
        assert "| 2 | r | 0 | 0 | 1 | 1 | 0 | no_leaf 1, timeout 1 |" in table
        assert "7 log lines were dropped." in table

    def test_input_without_entries_is_rejected(self):
        with pytest.raises(LogError, match="no log entry"):
            count_lost(["x"], 2.0)

    def test_a_missing_file_is_named(self, tmp_path):
        result = CliRunner().invoke(app, ["lost", str(tmp_path / "none.log")])
        assert isinstance(result.exception, LogError)
        assert "none.log cannot be read" in str(result.exception)
