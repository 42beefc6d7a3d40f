"""What became of a request at the instance that passed it on (pure)."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PriorAttempts:
    """Attempts of a request at another instance, none of which has run.

    The leafs of ``rejected_by`` got the request.  For the retry budget,
    ``is_counted`` states that the other instance has counted the request, and
    ``is_charged`` that it has taken the next send from its own budget.  An
    ``is_careful`` request must be sent to one leaf at a time.
    """

    rejected_by: tuple[str, ...] = ()
    is_counted: bool = False
    is_charged: bool = False
    is_careful: bool = False

    @property
    def is_uncharged_retry(self) -> bool:
        """Return whether the next send is to be taken from a budget."""
        return bool(self.rejected_by) and not self.is_charged

    def attempts_left(self, max_attempts: int) -> int:
        """Return how many more leafs may get the request."""
        return max_attempts - len(self.rejected_by)


NO_ATTEMPTS = PriorAttempts()
