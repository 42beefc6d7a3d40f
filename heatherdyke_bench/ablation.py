"""Measures what each mechanism of the gateway is worth on the users' bench.

The bench plays the same days with all mechanisms and with each one disabled,
in copies of the source tree whose deploy file sets the disabled mechanism.
"""

import asyncio
import json
import shutil
import statistics
import subprocess
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from heatherdyke.gateway.mechanisms import DISABLE_VARIABLE
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.platform.bench_report import DayReport
from heatherdyke.platform.bench_report import read_day_report
from heatherdyke_bench.errors import AblationError

DEPLOY_FILE = Path("deploy/system.toml")
# The program's libraries, which the build would otherwise install again.
BUILD_DIRECTORY = "target"
JOURNAL_DIRECTORY = "journal"
ROLE_HEADER = "[roles.gateway]\n"


@dataclass(frozen=True, slots=True)
class Play:
    """A day of a site with a seed; an empty seed is the day's own."""

    site: Path
    day: str
    seed: str

    @property
    def label(self) -> str:
        """Return the play's name for files and messages."""
        return "-".join(filter(None, (self.site.stem, self.day, self.seed)))


@dataclass(frozen=True, slots=True)
class Effect:
    """What a site loses without a mechanism, over its plays.

    Each value is the mean with all mechanisms less that without this one;
    ``spread`` is the standard deviation of the loss of worth.
    """

    mechanism: Mechanism
    site: str
    worth: float
    spread: float
    credit: float
    in_time_share: float
    violations: tuple[str, ...]


class Ablation:
    """Plays days with and without mechanisms."""

    def __init__(
        self,
        bench: Path,
        tree: Path,
        work: Path,
        plays: Sequence[Play],
        mechanisms: Sequence[Mechanism],
        jobs: int,
        report_progress: Callable[[str], None],
    ) -> None:
        for path in (bench, *(play.site for play in plays)):
            if not path.is_file():
                raise AblationError(
                    f"{path} is not a file", "correct the path"
                )
        self._bench = bench.resolve()
        self._tree = tree
        self._work = work
        self._plays = plays
        self._mechanisms = mechanisms
        self._slots = asyncio.Semaphore(jobs)
        self._report_progress = report_progress

    async def run(self) -> list[Effect]:
        """Return the effect of each mechanism at each site.

        Raises AblationError if the bench cannot play a day.
        """
        tasks = [
            asyncio.create_task(self._play_all(mechanism))
            for mechanism in (None, *self._mechanisms)
        ]
        baseline, *others = await asyncio.gather(*tasks)
        for mechanism in (None, *self._mechanisms):
            collect_journal(self._work / _name(mechanism), self._tree)
        sites = list(dict.fromkeys(play.site for play in self._plays))
        return [
            effect_of(mechanism, site.stem, baseline, reports)
            for mechanism, reports in zip(
                self._mechanisms, others, strict=True
            )
            for site in sites
        ]

    async def _play_all(
        self, mechanism: Mechanism | None
    ) -> dict[Play, DayReport]:
        name = _name(mechanism)
        tree = self._work / name
        copy_tree(self._tree, tree, mechanism)
        reports = await asyncio.gather(
            *(self._play(play, tree, name) for play in self._plays)
        )
        return dict(zip(self._plays, reports, strict=True))

    async def _play(self, play: Play, tree: Path, name: str) -> DayReport:
        report = tree / f"{play.label}.report.json"
        command = [str(self._bench), "run", str(play.site.resolve())]
        command += [play.day, "--no-cpu", "--report", str(report)]
        command += ["--why", f"Trial: ablation, without {name!r}"]
        if play.seed:
            command += ["--vary", "--seed", play.seed]
        async with self._slots:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=tree,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            output, _ = await process.communicate()
        if not report.is_file():
            last_line = output.decode().strip().rpartition("\n")[2]
            raise AblationError(
                f"the bench did not play {play.label}: {last_line}",
                "name a day of the site",
            )
        self._report_progress(f"{name}: {play.label}")
        return read_day_report(report)


def effect_of(
    mechanism: Mechanism,
    site: str,
    baseline: dict[Play, DayReport],
    reports: dict[Play, DayReport],
) -> Effect:
    """Return what the site loses without the mechanism."""
    plays = [play for play in baseline if play.site.stem == site]
    worths = [baseline[play].worth - reports[play].worth for play in plays]
    violations = {name for play in plays for name in reports[play].violations}
    return Effect(
        mechanism=mechanism,
        site=site,
        worth=statistics.fmean(worths),
        spread=statistics.stdev(worths) if len(worths) > 1 else 0.0,
        credit=statistics.fmean(
            baseline[play].credit - reports[play].credit for play in plays
        ),
        in_time_share=statistics.fmean(
            baseline[play].in_time_share - reports[play].in_time_share
            for play in plays
        ),
        violations=tuple(sorted(violations)),
    )


def copy_tree(tree: Path, to: Path, mechanism: Mechanism | None) -> None:
    """Copy the tracked files and the build; disable the mechanism."""
    listed = subprocess.run(
        ["git", "ls-files", "-z", "--", f":!{JOURNAL_DIRECTORY}"],
        cwd=tree,
        capture_output=True,
        check=True,
    )
    shutil.rmtree(to, ignore_errors=True)
    for name in filter(None, listed.stdout.decode().split("\0")):
        (to / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(tree / name, to / name)
    if (tree / BUILD_DIRECTORY).is_dir():
        shutil.copytree(tree / BUILD_DIRECTORY, to / BUILD_DIRECTORY)
    if mechanism is not None:
        deploy = to / DEPLOY_FILE
        deploy.write_text(disable_in(deploy.read_text(), mechanism))


def collect_journal(copy: Path, tree: Path) -> None:
    """Copy the entries that the bench wrote in a copy to the tree's journal.

    Entries of runs that have not ended must not be copied: the bench writes
    an entry at the start of a run and completes it at the end.
    """
    source = copy / JOURNAL_DIRECTORY
    for entry in source.rglob("*"):
        to = tree / JOURNAL_DIRECTORY / entry.relative_to(source)
        if entry.is_file() and not to.exists():
            to.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(entry, to)


def _name(mechanism: Mechanism | None) -> str:
    return mechanism.value if mechanism is not None else "all"


def disable_in(deploy: str, mechanism: Mechanism) -> str:
    """Return the deploy file's text with the mechanism disabled."""
    env = f"env = {{ {DISABLE_VARIABLE} = {json.dumps(mechanism.value)} }}\n"
    return deploy.replace(ROLE_HEADER, ROLE_HEADER + env)


def format_effects(effects: Sequence[Effect]) -> str:
    """Return a Markdown table, a row per mechanism and site."""
    lines = [
        "| mechanism | site | worth | spread | credit | in time | rules |",
        "|---|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {effect.mechanism.value} | {effect.site} | {effect.worth:+.3f} "
        f"| {effect.spread:.3f} | {effect.credit:+.3f} "
        f"| {effect.in_time_share:+.3f} | {', '.join(effect.violations)} |"
        for effect in effects
    ]
    return "\n".join(lines)
