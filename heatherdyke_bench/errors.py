"""Failures of the experiment tool."""

from heatherdyke.errors import HeatherdykeError


class FleetError(HeatherdykeError):
    """A process of the fleet failed, or no such process exists."""

    kind = "fleet"


class ScenarioError(HeatherdykeError):
    """A scenario does not exist, or its file is invalid."""

    kind = "scenario"
    exit_code = 2
