"""Failures of the experiment tool."""

from heatherdyke.errors import HeatherdykeError


class FleetError(HeatherdykeError):
    """A process of the fleet failed, or no such process exists."""

    kind = "fleet"


class ScenarioError(HeatherdykeError):
    """A scenario file does not have the documented form."""

    kind = "scenario"
    exit_code = 2
