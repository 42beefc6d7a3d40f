"""Tests of the rate limit of log lines."""

from loguru import logger

from heatherdyke.gateway.event_log import LINE_BURST
from heatherdyke.gateway.event_log import MAX_TEXT_CHARS
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import GATEWAY_STOPPED
from heatherdyke.gateway.events import LEAF_UPDATED
from heatherdyke.gateway.events import REQUEST_REFUSED


class TestLogLimit:
    def logged(self, record) -> list[str]:
        """Return the names of the events that ``record`` logs."""
        lines: list[str] = []
        sink = logger.add(lines.append, format="{message}", level="DEBUG")
        record(EventLog(lambda: 100.0))
        logger.remove(sink)
        return [line.strip() for line in lines]

    # Guards against lines of a megabyte, made of what another writer stores.
    def test_long_texts_are_cut(self):
        fields: list[dict] = []
        sink = logger.add(
            lambda message: fields.append(message.record["extra"]["fields"]),
            level="DEBUG",
        )
        EventLog(lambda: 100.0).record(LEAF_UPDATED, service="s" * 1_000_000)
        logger.remove(sink)
        assert len(fields[0]["service"]) < 2 * MAX_TEXT_CHARS
        assert "1000000 characters" in fields[0]["service"]

    def test_a_flood_of_refusals_is_limited(self):
        def record(log: EventLog) -> None:
            for _ in range(2 * int(LINE_BURST)):
                log.record(REQUEST_REFUSED)

        assert len(self.logged(record)) <= LINE_BURST

    def test_the_end_of_a_process_is_logged_during_a_flood(self):
        """It was dropped beside the refusals of the last seconds."""

        def record(log: EventLog) -> None:
            for _ in range(2 * int(LINE_BURST)):
                log.record(REQUEST_REFUSED)
            log.record(LEAF_UPDATED)
            log.record(GATEWAY_STOPPED)

        logged = self.logged(record)
        assert GATEWAY_STOPPED.name in logged
        assert LEAF_UPDATED.name not in logged
