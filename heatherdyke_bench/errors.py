"""Failures of the experiment tool."""

from heatherdyke.errors import HeatherdykeError


class FleetError(HeatherdykeError):
    """A process of the fleet failed, or no such process exists."""

    kind = "fleet"


class AblationError(HeatherdykeError):
    """The bench, a site or a day of an ablation does not exist."""

    kind = "ablation"
    exit_code = 2


class TrialError(HeatherdykeError):
    """The journal lacks a trial, or two trials have no day in common."""

    kind = "trial"
    exit_code = 2


class LogError(HeatherdykeError):
    """A log file cannot be read or has no entries."""

    kind = "log"
    exit_code = 2


class ScenarioError(HeatherdykeError):
    """A scenario does not exist, or its file is invalid."""

    kind = "scenario"
    exit_code = 2
