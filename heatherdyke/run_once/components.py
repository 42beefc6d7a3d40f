"""Puts together the parts that run requests at most once."""

from dataclasses import dataclass

from heatherdyke.clock import Clock
from heatherdyke.component import Component
from heatherdyke.component import ConfigView
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.rendezvous import rank
from heatherdyke.membership.task import MemberTask
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetch import PeerFetcher
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
from heatherdyke.usage.book import UsageCounters

SWEEPER_ID = "run-sweeper"


@dataclass(frozen=True, slots=True)
class RunDependencies:
    """The parts of an instance that runs build upon."""

    settings: Settings
    context: SearchContext
    config: ConfigView
    members: MemberTask
    platform: ObjectClient
    journal: Journal
    usage: UsageCounters
    active_requests: RequestTracker
    clock: Clock


def build_run_components(around: RunDependencies) -> list[Component]:
    """Return the component that serves runs and the one that sweeps."""
    uses = around.settings.uses
    task = RunOnceServer(
        _build_book(around, uses(Mechanism.RUN_ONCE)),
        around.config,
        around.active_requests,
        around.clock,
        around.settings.drain_s,
        uses(Mechanism.TRUTHFUL_REFUSAL),
    )
    sweeper = RunSweeper(
        around.platform,
        around.config,
        lambda: _is_sweeper(around.settings.name, around.members),
        around.journal,
        around.clock,
    )
    return [task, sweeper]


def _build_book(around: RunDependencies, guarded: bool) -> RunRegistry:
    settings = around.settings
    peers = RunTransport(
        around.context,
        around.config,
        around.members,
        around.journal,
        around.usage,
        PeerFetcher(settings.peer_key),
        around.clock,
    )
    driver = RunDriver(
        Identity(settings.name, settings.address),
        RunStore(around.platform),
        peers.send,
        peers.ask,
        peers.choose_leaves,
        around.clock,
    )
    tickets = TicketIssuer(settings.name, around.members.incarnation)
    return RunRegistry(tickets, driver, around.journal, around.clock, guarded)


def _is_sweeper(name: str, members: MemberTask) -> bool:
    ranked = rank(SWEEPER_ID, members.members())
    return bool(ranked) and ranked[0].name == name
