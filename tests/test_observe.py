"""Metrics, health checks and the observability routes."""

import asyncio

from blacksheep.testing import TestClient

from heatherdyke.codec import decode
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import new_application
from heatherdyke.observe.events import INSTANCE_STOPPING
from heatherdyke.observe.health import HealthState
from heatherdyke.observe.health import check_liveness
from heatherdyke.observe.health import check_readiness
from heatherdyke.observe.http_api import ObservabilityApi
from heatherdyke.observe.journal import EventPage
from heatherdyke.observe.journal import Journal
from heatherdyke.observe.metrics import MAX_SERIES
from heatherdyke.observe.metrics import Metrics
from heatherdyke.observe.metrics import StatsPage
from heatherdyke.observe.metrics import merge_stats
from heatherdyke.observe.metrics import summarise
from heatherdyke.observe.prometheus_text import render_metrics

READY = HealthState(
    config_known=True, members_known=True, leaving=False, zone_out=False
)


class TestMetrics:
    def test_merging_histograms_is_lossless(self):
        parts = [Metrics(), Metrics()]
        expected = Metrics()
        for i in range(1, 2001):
            seconds = i * i * 1e-6
            parts[i % 2].record_latency("search", "urgent", seconds)
            expected.record_latency("search", "urgent", seconds)
        merged = merge_stats(m.read("", "", "") for m in parts)
        assert merged == expected.read("", "", "")
        assert summarise(merged.latencies[0]).count == 2000

    def test_merging_sums_counters(self):
        parts = [Metrics(), Metrics()]
        for metrics in parts:
            metrics.count("refused", "overloaded", 3)
        merged = merge_stats(m.read("", "", "") for m in parts)
        assert [counter.count for counter in merged.counters] == [6]

    def test_number_of_series_is_bounded(self):
        metrics = Metrics()
        for i in range(MAX_SERIES + 50):
            metrics.count("refused", f"label{i}")
        counters = metrics.read("", "", "").counters
        assert len(counters) == MAX_SERIES + 1
        assert sum(counter.count for counter in counters) == MAX_SERIES + 50

    def test_prometheus_text_escapes_labels(self):
        metrics = Metrics()
        metrics.record_latency("search", 'a"b', 0.002)
        metrics.count("refused", "x")
        text = render_metrics(metrics.read("", "", ""))
        assert 'heatherdyke_search_seconds_count{label="a\\"b"} 1' in text
        assert 'heatherdyke_refused_total{label="x"} 1' in text


class TestHealth:
    def test_readiness_lists_every_unmet_condition(self):
        assert check_readiness(READY).ready
        state = HealthState(
            config_known=False,
            members_known=False,
            leaving=True,
            zone_out=True,
        )
        assert len(check_readiness(state).reasons) == 4

    def test_live_while_the_event_loop_runs(self):
        assert check_liveness(10.0, 10.3).live
        assert not check_liveness(10.0, 16.0).live


class TestObservabilityApi:
    def test_routes(self):
        asyncio.run(self._check_routes())

    async def _check_routes(self):
        journal = Journal("a", zone="brescia", incarnation="i1")
        metrics = Metrics()
        metrics.count("searches", "urgent")
        states = [READY]
        api = ObservabilityApi(journal, metrics, lambda: states[0], lambda: [])
        app = new_application()
        api.add_routes(Applications(new_application(), app))
        await app.start()
        client = TestClient(app)
        journal.record(INSTANCE_STOPPING)
        response = await client.get("/events?after=0")
        page = decode(await response.read(), EventPage)
        assert page.events[0].number == INSTANCE_STOPPING.number
        assert (await client.get("/events?after=x")).status == 400
        response = await client.get("/stats")
        assert decode(await response.read(), StatsPage).counters[0].count == 1
        assert "searches_total" in await (await client.get("/metrics")).text()
        assert (await client.get("/healthz")).status == 200
        assert (await client.get("/readyz")).status == 200
        states[0] = HealthState(True, True, leaving=True, zone_out=False)
        assert (await client.get("/readyz")).status == 503
