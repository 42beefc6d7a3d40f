"""Scenarios as data files: phases of load with timed actions."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from importlib.resources import files
from typing import Any

import msgspec
import yaml

from heatherdyke.standin.leaf_model import LeafProfile
from heatherdyke_bench.deployments import Deployment
from heatherdyke_bench.errors import ScenarioError

SCENARIOS = "heatherdyke_bench.scenarios"


@dataclass(frozen=True, slots=True)
class Action:
    """An action that runs ``at_s`` seconds into a phase.

    ``do`` names it in the registry of heatherdyke_bench.actions;
    ``values`` are its arguments.
    """

    at_s: float
    do: str
    values: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of a run; a report leaves out warm-up and recovery phases."""

    name: str
    seconds: float
    rate: float = 1.0
    measured: bool = True
    actions: list[Action] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The course of one run; ``leaf`` overrides fields of leaf profiles.

    ``deadline_factor`` multiplies the classes' deadlines, to allow for slow
    leaves.  ``proxied`` puts the fault proxy between all processes, so that
    zones can be partitioned.
    """

    name: str
    description: str
    phases: list[Phase]
    leaf: dict[str, Any] = field(default_factory=dict)
    proxied: bool = False
    deadline_factor: float = 1.0

    def adjust_deployment(self, deployment: Deployment) -> Deployment:
        """Return the deployment with the scenario's deadlines."""
        classes = [
            replace(c, deadline_ms=int(c.deadline_ms * self.deadline_factor))
            for c in deployment.classes
        ]
        return replace(deployment, classes=classes)

    def adjust_profile(self, profile: LeafProfile, seed: int) -> LeafProfile:
        """Return a leaf's profile with the scenario's overrides."""
        merged = msgspec.to_builtins(profile) | self.leaf
        merged["seed"] = profile.seed * 1000 + seed
        try:
            return msgspec.convert(merged, LeafProfile)
        except msgspec.ValidationError as error:
            raise ScenarioError(
                f"scenario {self.name}: leaf: {error}", "correct the file"
            ) from error


def load_scenario(name: str) -> Scenario:
    """Return the scenario of that name; raises ScenarioError."""
    path = files("heatherdyke_bench") / "scenarios" / f"{name}.yaml"
    if not path.is_file():
        known = ", ".join(scenario_names())
        raise ScenarioError(f"no scenario {name!r}", f"use one of {known}")
    return parse_scenario(path.read_text())


def parse_scenario(text: str) -> Scenario:
    """Return the scenario from YAML text; raises ScenarioError."""
    try:
        return msgspec.convert(yaml.safe_load(text), Scenario)
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        raise ScenarioError(
            f"the scenario is invalid: {error}", "correct the file"
        ) from error


def scenario_names() -> list[str]:
    """Return the names of all scenarios, sorted."""
    directory = files("heatherdyke_bench") / "scenarios"
    return sorted(
        path.name.removesuffix(".yaml")
        for path in directory.iterdir()
        if path.name.endswith(".yaml")
    )
