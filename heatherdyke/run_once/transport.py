"""Sends runs to leaves through their homes, and queries to holders."""

from heatherdyke.clock import Clock
from heatherdyke.codec import encode
from heatherdyke.component import ConfigView
from heatherdyke.component import MembershipView
from heatherdyke.config.index import ConfigIndexCache
from heatherdyke.errors import TransportError
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import LeafRun
from heatherdyke.messages import LeafRunAnswer
from heatherdyke.messages import PeerRun
from heatherdyke.messages import PeerRunOnceOutcome
from heatherdyke.observe.events import RUN_SENT
from heatherdyke.observe.journal import Journal
from heatherdyke.peers.fetcher import PeerFetcher
from heatherdyke.run_once.driver import LocalRun
from heatherdyke.run_once.driver import to_holder_query
from heatherdyke.run_once.tickets import Ticket
from heatherdyke.search.context import Route
from heatherdyke.search.context import SearchContext
from heatherdyke.usage.counters import UsageCounters

REPLY_GRACE_S = 0.2


class RunTransport:
    """Connects a run's driver with the homes of leaves and with holders."""

    def __init__(
        self,
        context: SearchContext,
        config: ConfigView,
        members: MembershipView,
        journal: Journal,
        usage: UsageCounters,
        fetcher: PeerFetcher,
        clock: Clock,
    ) -> None:
        self._context = context
        self._index = ConfigIndexCache(config)
        self._members = members
        self._journal = journal
        self._usage = usage
        self._fetcher = fetcher
        self._clock = clock

    def choose_leaves(self, service: str, shard: str) -> list[str]:
        """Return the shard's leaves that are eligible for new work."""
        section = self._index.current().section_by_service.get(service)
        if section is None or shard not in section.services[service].shards:
            return []
        leaves = section.services[service].shards[shard].leaves
        return self._context.eligible_leaves(leaves)

    async def send(
        self, leaf_id: str, run: LeafRun, priority: int
    ) -> LeafRunAnswer | LeafRefusal:
        """Send a run to its leaf's home; raises TransportError."""
        route = self._context.find_route(leaf_id)
        if route is None:
            return LeafRefusal(run.request_id, run.shard, "not_home")
        team, _, key = run.key.partition("/")
        self._journal.record(
            RUN_SENT,
            team=team,
            key=key,
            attempt=run.request_id,
            leaf=leaf_id,
        )
        try:
            outcome = await self._send_to(route, leaf_id, run, priority)
        except TransportError as error:
            self._usage.count(team, runs=int(error.sent))
            raise
        self._usage.count(team, runs=int(isinstance(outcome, LeafRunAnswer)))
        return outcome

    async def _send_to(
        self, route: Route, leaf_id: str, run: LeafRun, priority: int
    ) -> LeafRunAnswer | LeafRefusal:
        if route.address is None:
            return await self._context.dispatcher.run_once(
                leaf_id, run, priority
            )
        return await self._context.peers.run_once(
            route.address, PeerRun(leaf_id, priority, run)
        )

    async def query_holder(self, run: LocalRun) -> PeerRunOnceOutcome:
        """Query the holder of a key; raises TransportError."""
        address = self._holder_address(run)
        holder_query = to_holder_query(run, self._clock.now())
        timeout_s = holder_query.remaining_ms / 1000 + REPLY_GRACE_S
        return await self._fetcher.fetch(
            address,
            "/peer/run-once",
            PeerRunOnceOutcome,
            timeout_s,
            "POST",
            encode(holder_query),
        )

    def _holder_address(self, run: LocalRun) -> str:
        if run.record is not None:
            return run.record.record.address
        ticket = Ticket.from_key(run.key)
        for member in self._members.members():
            if ticket is not None and member.name == ticket.instance:
                return member.address
        raise TransportError(
            f"the holder of key {run.key!r} is not a known member", sent=False
        )
