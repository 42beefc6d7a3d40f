"""Bounds from above what any dispatcher reaches when many shards are slow.

A search needs parts of a share of its shards by the time at which its answer
is due.  Some shards have only slow leafs.  A dispatcher that knows which they
are still has to wait for their work and to share their slots among the
searches.  The bound ignores queues: an attempt starts at once, ends at the
due time at the latest, and the slots limit only how many attempts a search
gets on average.  The fast shards always answer in time.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from math import exp
from math import log
from math import sqrt
from random import Random
from typing import Annotated

import typer

from heatherdyke.errors import SettingsError

DEFAULT_SAMPLES = 4000


@dataclass(frozen=True, slots=True)
class SlowShards:
    """A load of searches, and the shards whose leafs are all slow.

    Times are in seconds.  ``work_s`` is the mean work of a leaf at its usual
    speed, with a lognormal distribution of relative ``spread``; slow leafs
    take ``slowness`` times as long.
    """

    shards: int
    slow: int
    slowness: float
    leafs: int
    slots: int
    work_s: float
    spread: float
    due_s: float
    min_share: float
    searches_per_s: float

    def check(self) -> None:
        """Raise SettingsError with all faults if the load makes no sense."""
        faults = []
        if not 0 < self.slow <= self.shards:
            faults.append("--slow must be between 1 and the number of shards")
        if not 0.0 < self.min_share <= 1.0:
            faults.append("--min-share must be above 0 and at most 1")
        positive = ("slowness", "leafs", "slots", "work_s", "due_s")
        for name in (*positive, "searches_per_s"):
            if getattr(self, name) <= 0:
                faults.append(f"--{name.replace('_', '-')} must be above 0")
        if self.spread < 0.0:
            faults.append("--spread must not be negative")
        if faults:
            raise SettingsError(faults)


@dataclass(frozen=True, slots=True)
class Bound:
    """The bound for one load.

    ``attempts`` is the mean number of attempts at slow shards that the slots
    allow a search, ``in_time`` the share of searches that are answered in
    time, ``credit`` their mean share of shards, squared.
    """

    attempts: float
    in_time: float
    credit: float


def upper_bound(
    load: SlowShards, seed: int, samples: int = DEFAULT_SAMPLES
) -> Bound:
    """Return the bound; the same seed gives the same bound.

    Raises SettingsError if the load is invalid.
    """
    load.check()
    random = Random(seed)
    works = [
        [_work(load, random) for _ in range(load.slow * load.leafs)]
        for _ in range(samples)
    ]
    held = [min(work, load.due_s) for sample in works for work in sample]
    mean_held_s = sum(held) / len(held)
    capacity_per_s = load.slow * load.leafs * load.slots / mean_held_s
    most = load.slow * load.leafs
    attempts = min(float(most), capacity_per_s / load.searches_per_s)
    outcomes = [_outcomes(load, works, count) for count in range(most + 1)]
    return Bound(
        attempts,
        _envelope([in_time for in_time, _ in outcomes], attempts),
        _envelope([credit for _, credit in outcomes], attempts),
    )


def _work(load: SlowShards, random: Random) -> float:
    sigma = sqrt(log(1.0 + load.spread**2))
    mean = load.work_s * load.slowness
    return mean * exp(random.gauss(-0.5 * sigma**2, sigma))


def _outcomes(
    load: SlowShards, works: Sequence[Sequence[float]], attempts: int
) -> tuple[float, float]:
    """Return the share of searches in time and their mean credit.

    Attempts go to different shards first, then to the shards' other leafs.
    """
    needed = ceil(load.min_share * load.shards - 1e-9)
    fast = load.shards - load.slow
    in_time = 0
    credit = 0.0
    for sample in works:
        answered = {
            number % load.slow
            for number in range(attempts)
            if sample[number] <= load.due_s
        }
        if fast + len(answered) >= needed:
            in_time += 1
            credit += ((fast + len(answered)) / load.shards) ** 2
    return in_time / len(works), credit / len(works)


def _envelope(values: Sequence[float], at: float) -> float:
    """Return the concave envelope of ``values`` by index at ``at``.

    Searches may get different numbers of attempts with the same mean.
    """
    best = 0.0
    for low in range(len(values)):
        for high in range(low, len(values)):
            if not low <= at <= high:
                continue
            weight = (at - low) / (high - low) if high > low else 0.0
            mixed = (1.0 - weight) * values[low] + weight * values[high]
            best = max(best, mixed)
    return best


def main(
    slow: Annotated[int, typer.Option(help="Shards with slow leafs only.")],
    slowness: Annotated[float, typer.Option(help="Factor of their work.")],
    shards: int = 30,
    leafs: Annotated[int, typer.Option(help="Leafs of a shard.")] = 2,
    slots: Annotated[int, typer.Option(help="Slots of a leaf.")] = 3,
    work_s: float = 0.042,
    spread: float = 0.35,
    due_s: float = 0.236,
    min_share: float = 0.89,
    searches_per_s: float = 27.0,
    seeds: str = "1,2,3",
) -> None:
    """Print the bound for each seed."""
    load = SlowShards(
        shards,
        slow,
        slowness,
        leafs,
        slots,
        work_s,
        spread,
        due_s,
        min_share,
        searches_per_s,
    )
    for seed in seeds.split(","):
        bound = upper_bound(load, int(seed))
        typer.echo(
            f"seed {seed}: {bound.attempts:.2f} attempts a search, "
            f"{bound.in_time:.3f} in time, credit {bound.credit:.3f}"
        )


def run() -> None:
    """Run the command line; print known errors without a traceback."""
    app = typer.Typer(add_completion=False)
    app.command()(main)
    try:
        app()
    except SettingsError as error:
        typer.echo(f"Error: {error}", err=True)
        raise SystemExit(error.exit_code) from None


if __name__ == "__main__":
    run()
