"""The metrics of a gateway, and the libraries that they need."""

import subprocess
import sys
from pathlib import Path

from heatherdyke.gateway.gateway_metrics import RELATIVE_ACCURACY
from heatherdyke.gateway.gateway_metrics import GatewayMetrics
from heatherdyke.observe.series import MAX_SERIES

ROOT = Path(__file__).resolve().parent.parent
# Libraries without wheels for some of the machines.
COMPILED = ("hdrh", "pyhdrh")
IMPORT_WITHOUT_THEM = f"""\
import sys
for name in {COMPILED!r}:
    sys.modules[name] = None
import heatherdyke.gateway.run
"""


def value_of(text: str, start: str) -> float:
    (line,) = (line for line in text.splitlines() if line.startswith(start))
    return float(line.rpartition(" ")[2])


class TestGatewayLibraries:
    # Guards against a process that does not start where a library has no
    # wheel: its build needed a compiler.
    def test_the_gateway_needs_no_library_that_has_to_be_compiled(self):
        subprocess.run(
            [sys.executable, "-c", IMPORT_WITHOUT_THEM], cwd=ROOT, check=True
        )


class TestGatewayMetrics:
    def test_percentiles_are_within_the_accuracy(self):
        metrics = GatewayMetrics()
        for number in range(1, 1001):
            metrics.record_latency("search", "r", number / 1000)
        text = metrics.render()
        start = 'heatherdyke_search_seconds{label="r",quantile='
        for quantile, expected in (("0.5", 0.5), ("0.99", 0.99)):
            value = value_of(text, f'{start}"{quantile}"')
            assert abs(value / expected - 1) < RELATIVE_ACCURACY + 0.002
        assert value_of(text, "heatherdyke_search_seconds_count") == 1000

    # Guards against memory that grows with labels from outside.
    def test_the_number_of_series_is_bounded(self):
        metrics = GatewayMetrics()
        for number in range(MAX_SERIES + 50):
            metrics.count("sends", f"label {number}")
        text = metrics.render()
        assert text.count("heatherdyke_sends_total{") == MAX_SERIES + 1
        other = value_of(text, 'heatherdyke_sends_total{label="other"}')
        assert other == 50

    def test_a_duration_of_zero_is_counted(self):
        metrics = GatewayMetrics()
        metrics.record_latency("search", "r", 0.0)
        assert "heatherdyke_search_seconds_count" in metrics.render()
