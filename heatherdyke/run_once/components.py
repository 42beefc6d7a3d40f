"""Builds the components that serve requests that run at most once."""

from dataclasses import dataclass

from heatherdyke.clock import Clock
from heatherdyke.component import Component
from heatherdyke.component import ConfigView
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.rendezvous import rank
from heatherdyke.membership.task import MembershipTask
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.run_once.driver import Identity
from heatherdyke.run_once.driver import RunDriver
from heatherdyke.run_once.registry import RunRegistry
from heatherdyke.run_once.server import RunOnceServer
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.sweeper import RunSweeper
from heatherdyke.run_once.tickets import TicketIssuer
from heatherdyke.run_once.transport import RunTransport
from heatherdyke.search.context import SearchContext
from heatherdyke.search.request_tracker import RequestTracker
from heatherdyke.settings import Settings
from heatherdyke.usage.counters import UsageCounters

SWEEPER_ID = "run-sweeper"


@dataclass(frozen=True, slots=True)
class RunDependencies:
    """The parts of an instance that the run-once components use."""

    settings: Settings
    context: SearchContext
    config: ConfigView
    members: MembershipTask
    platform: ObjectClient
    journal: Journal
    usage: UsageCounters
    active_requests: RequestTracker
    clock: Clock


def build_run_components(dependencies: RunDependencies) -> list[Component]:
    """Return the server component and the sweeper component."""
    is_enabled = dependencies.settings.is_enabled
    server = RunOnceServer(
        _build_registry(dependencies, is_enabled(Mechanism.RUN_ONCE)),
        dependencies.config,
        dependencies.active_requests,
        dependencies.clock,
        dependencies.settings.drain_s,
        is_enabled(Mechanism.TRUTHFUL_REFUSAL),
    )
    sweeper = RunSweeper(
        dependencies.platform,
        dependencies.config,
        lambda: _is_sweeper(dependencies.settings.name, dependencies.members),
        dependencies.journal,
        dependencies.clock,
    )
    return [server, sweeper]


def _build_registry(
    dependencies: RunDependencies, guarded: bool
) -> RunRegistry:
    settings = dependencies.settings
    transport = RunTransport(
        dependencies.context,
        dependencies.config,
        dependencies.members,
        dependencies.journal,
        dependencies.usage,
        PeerFetcher(settings.peer_key),
        dependencies.clock,
    )
    driver = RunDriver(
        Identity(settings.name, settings.address),
        RunStore(dependencies.platform),
        transport.send,
        transport.query_holder,
        transport.choose_leaves,
        dependencies.clock,
    )
    tickets = TicketIssuer(settings.name, dependencies.members.incarnation)
    return RunRegistry(
        tickets, driver, dependencies.journal, dependencies.clock, guarded
    )


def _is_sweeper(name: str, members: MembershipTask) -> bool:
    ranked = rank(SWEEPER_ID, members.members())
    return bool(ranked) and ranked[0].name == name
