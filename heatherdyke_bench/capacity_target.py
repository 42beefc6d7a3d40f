"""The size planned for the next two years, and figures derived from it."""

from dataclasses import dataclass
from math import exp

SECONDS_PER_DAY = 86_400


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
    max_activation_s: float = 15.0
    control_cpu_ms_per_s: float = 25.0
    control_memory_mb: float = 64.0
    control_kb_per_s: float = 11.0
    platform_reads_per_s: float = 2_000.0
    replaced_per_day: int = 1_800
    failed_per_day: int = 10

    @property
    def searches_per_instance(self) -> float:
        """Return the searches per second that one entry answers."""
        return self.searches_per_s / self.instances

    @property
    def parts_per_instance(self) -> float:
        """Return the search parts per second that one home receives."""
        return self.searches_per_instance * self.parts_per_search

    @property
    def searches_per_leaf(self) -> float:
        """Return the searches per second that one leaf receives."""
        return self.searches_per_s * self.parts_per_search / self.leaves

    @property
    def members_per_zone(self) -> float:
        """Return the number of instances in a zone."""
        return self.instances / self.zones

    @property
    def leaves_per_home(self) -> float:
        """Return the number of leaves per home."""
        return self.leaves / self.instances

    @property
    def edits_per_s(self) -> float:
        """Return the mean rate of accepted edits."""
        return self.edits_per_day / SECONDS_PER_DAY

    def homes_per_search(self, instances: float) -> float:
        """Return how many of ``instances`` receive parts of a search.

        Rendezvous hashing spreads the parts over homes at random.
        """
        return instances * (1 - exp(-self.parts_per_search / instances))


TARGET = Target()
