"""The size of the next two years, and what follows from it alone."""

from dataclasses import dataclass
from math import exp

SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Target:
    """The planned size and its limits."""

    instances: int = 1_100
    leaves: int = 8_200
    zones: int = 20
    regions: int = 7
    searches_per_s: int = 230_000
    parts_per_search: int = 1_600
    p99_ms: float = 61.0
    edits_per_day: int = 6_400
    in_force_s: float = 15.0
    control_cpu_ms_per_s: float = 25.0
    control_memory_mb: float = 64.0
    control_kb_per_s: float = 11.0
    platform_reads_per_s: float = 2_000.0
    replaced_per_day: int = 1_800
    failed_per_day: int = 10

    @property
    def searches_per_instance(self) -> float:
        """Return the searches a second that one entry answers."""
        return self.searches_per_s / self.instances

    @property
    def parts_per_instance(self) -> float:
        """Return the parts a second that one home gets."""
        return self.searches_per_instance * self.parts_per_search

    @property
    def searches_per_leaf(self) -> float:
        """Return the searches a second that one leaf gets."""
        return self.searches_per_s * self.parts_per_search / self.leaves

    @property
    def members_per_zone(self) -> float:
        """Return the instances of a zone."""
        return self.instances / self.zones

    @property
    def leaves_per_home(self) -> float:
        """Return the leaves of one home."""
        return self.leaves / self.instances

    @property
    def edits_per_s(self) -> float:
        """Return the mean rate of accepted edits."""
        return self.edits_per_day / SECONDS_A_DAY

    def homes_per_search(self, instances: float) -> float:
        """Return how many of ``instances`` get a part of a search.

        Parts fall on homes at random, as rendezvous hashing deals them.
        """
        return instances * (1 - exp(-self.parts_per_search / instances))


TARGET = Target()
