"""When to hedge a search, within a budget of extra load (pure)."""

from dataclasses import dataclass
from dataclasses import field

MAX_BUDGET_TOKENS = 40.0
INITIAL_DELAY_S = 0.02
MIN_DELAY_S = 0.002
MAX_DELAY_S = 1.0
DELAY_QUANTILE = 0.95
QUANTILE_STEP = 0.05
SHED_PENALTY = 1.0


@dataclass(slots=True)
class ExtraLoadBudget:
    """A token bucket for hedges and retries.

    Each leaf search that is no hedge or retry deposits ``share`` of a token;
    each hedge or retry withdraws one.  Each search that a leaf sheds removes
    one, so that extra load stops while servers are overloaded.
    """

    share: float
    limited: bool = True
    tokens: float = MAX_BUDGET_TOKENS / 2
    withdrawn: int = 0

    def deposit(self, search_count: int) -> None:
        """Deposit tokens for searches that are no hedges or retries."""
        earned = self.tokens + self.share * search_count
        self.tokens = min(MAX_BUDGET_TOKENS, earned)

    def penalize_shed(self) -> None:
        """Remove tokens because a leaf shed a search."""
        self.tokens = max(0.0, self.tokens - SHED_PENALTY)

    def try_withdraw(self) -> bool:
        """Withdraw one token; return False if there is none."""
        if self.limited and self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.withdrawn += 1
        return True


@dataclass(slots=True)
class LatencyQuantile:
    """A running estimate of a quantile of part latencies, in seconds.

    The method is stochastic approximation (Robbins and Monro 1951): a sample
    above the estimate moves it up by a step, one below moves it down.
    """

    quantile: float = DELAY_QUANTILE
    value_s: float = INITIAL_DELAY_S
    step: float = QUANTILE_STEP

    def add(self, sample_s: float) -> None:
        """Update the estimate by one sample."""
        step = self.step * self.value_s
        if sample_s > self.value_s:
            self.value_s += step * self.quantile
        else:
            self.value_s -= step * (1.0 - self.quantile)
        self.value_s = min(max(self.value_s, MIN_DELAY_S), MAX_DELAY_S)


@dataclass(slots=True)
class HedgePolicy:
    """Decides when an unanswered part may be hedged."""

    budget: ExtraLoadBudget
    enabled: bool = True
    latency: LatencyQuantile = field(default_factory=LatencyQuantile)

    def delay_s(self) -> float:
        """Return the latency above which a part counts as a straggler."""
        return self.latency.value_s

    def try_acquire(self) -> bool:
        """Withdraw a token for a hedge; False if hedging is off."""
        return self.enabled and self.budget.try_withdraw()
