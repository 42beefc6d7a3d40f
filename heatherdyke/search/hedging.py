"""When to ask a second replica, under one budget of extra load (pure)."""

from dataclasses import dataclass
from dataclasses import field

BUDGET_BURST = 40.0
FIRST_DELAY_S = 0.02
MIN_DELAY_S = 0.002
MAX_DELAY_S = 1.0
DELAY_QUANTILE = 0.95
QUANTILE_STEP = 0.05
SHED_PENALTY = 1.0


@dataclass(slots=True)
class ExtraLoadBudget:
    """Tokens for searches beyond the needed ones.

    Each needed leaf search earns ``share`` of a token; each hedge or
    retry costs one.  A shed takes a token away, so that extra load stops
    while servers are overloaded.
    """

    share: float
    limited: bool = True
    tokens: float = BUDGET_BURST / 2
    spent: int = 0

    def earn(self, searches: int) -> None:
        """Count needed leaf searches."""
        earned = self.tokens + self.share * searches
        self.tokens = min(BUDGET_BURST, earned)

    def punish_shed(self) -> None:
        """Take the penalty of a leaf's shed."""
        self.tokens = max(0.0, self.tokens - SHED_PENALTY)

    def spend(self) -> bool:
        """Take one token; return False if there is none."""
        if self.limited and self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.spent += 1
        return True


@dataclass(slots=True)
class LatencyQuantile:
    """A running quantile of part latencies in seconds.

    The method is the stochastic approximation of a quantile (Robbins and
    Monro 1951): a step up when a sample lies above, down when below.
    """

    quantile: float = DELAY_QUANTILE
    value_s: float = FIRST_DELAY_S
    step: float = QUANTILE_STEP

    def add(self, sample_s: float) -> None:
        """Move the estimate by one sample."""
        step = self.step * self.value_s
        if sample_s > self.value_s:
            self.value_s += step * self.quantile
        else:
            self.value_s -= step * (1.0 - self.quantile)
        self.value_s = min(max(self.value_s, MIN_DELAY_S), MAX_DELAY_S)


@dataclass(slots=True)
class HedgePolicy:
    """Says after how long an unanswered part may be asked again."""

    budget: ExtraLoadBudget
    enabled: bool = True
    latency: LatencyQuantile = field(default_factory=LatencyQuantile)

    def delay_s(self) -> float:
        """Return the time after which a part counts as a straggler."""
        return self.latency.value_s

    def may_hedge(self) -> bool:
        """Take a token for a hedge, if hedges are in use."""
        return self.enabled and self.budget.spend()
