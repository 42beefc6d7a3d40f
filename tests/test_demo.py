"""The demo runs searches over 100 leaves and one run-once request."""

import asyncio

from heatherdyke.standin.demo import run_demo


class TestDemo:
    def test_searches_have_full_coverage_and_the_pull_runs_once(self):
        lines: list[str] = []
        asyncio.run(run_demo(lines.append))
        text = "\n".join(lines)
        assert text.count("coverage 100.0%") == 6
        pulls = [line for line in lines if line.startswith("archive pull")]
        assert len(pulls) == 2
        assert len({pull.partition(": ")[2] for pull in pulls}) == 1
