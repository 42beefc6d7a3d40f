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
from heatherdyke.run_once.book import RunBook
from heatherdyke.run_once.driver import Identity
from heatherdyke.run_once.driver import RunDriver
from heatherdyke.run_once.peers import RunPeers
from heatherdyke.run_once.store import RunStore
from heatherdyke.run_once.sweeper import RunSweeper
from heatherdyke.run_once.task import RunOnceTask
from heatherdyke.run_once.tickets import TicketBook
from heatherdyke.search.context import SearchContext
from heatherdyke.search.request_gate import RequestGate
from heatherdyke.settings import Settings
from heatherdyke.usage.book import UsageCounters

SWEEPER_ID = "run-sweeper"


@dataclass(frozen=True, slots=True)
class RunSurroundings:
    """The parts of an instance that runs build upon."""

    settings: Settings
    context: SearchContext
    config: ConfigView
    members: MemberTask
    platform: ObjectClient
    journal: Journal
    usage: UsageCounters
    gate: RequestGate
    clock: Clock


def build_run_components(around: RunSurroundings) -> list[Component]:
    """Return the component that serves runs and the one that sweeps."""
    is_enabled = around.settings.is_enabled
    task = RunOnceTask(
        _build_book(around, is_enabled(Mechanism.RUN_ONCE)),
        around.config,
        around.gate,
        around.clock,
        around.settings.drain_s,
        is_enabled(Mechanism.TRUTHFUL_REFUSAL),
    )
    sweeper = RunSweeper(
        around.platform,
        around.config,
        lambda: _is_sweeper(around.settings.name, around.members),
        around.journal,
        around.clock,
    )
    return [task, sweeper]


def _build_book(around: RunSurroundings, guarded: bool) -> RunBook:
    settings = around.settings
    peers = RunPeers(
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
    tickets = TicketBook(settings.name, around.members.incarnation)
    return RunBook(tickets, driver, around.journal, around.clock, guarded)


def _is_sweeper(name: str, members: MemberTask) -> bool:
    ranked = rank(SWEEPER_ID, members.members())
    return bool(ranked) and ranked[0].name == name
