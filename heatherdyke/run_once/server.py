"""HTTP handlers of requests that run at most once."""

import asyncio
import re
from collections.abc import Callable
from dataclasses import replace
from hashlib import sha256

from blacksheep import Request
from blacksheep import Response
from xxhash import xxh3_64_intdigest

from heatherdyke.callers.authentication import CallerAuthenticator
from heatherdyke.clock import Clock
from heatherdyke.codec import encode
from heatherdyke.component import ConfigView
from heatherdyke.config.model import RunOnceMode
from heatherdyke.config.model import SectionConfig
from heatherdyke.config.model import ServiceConfig
from heatherdyke.errors import HeatherdykeError
from heatherdyke.messages import PeerRunOnce
from heatherdyke.messages import PeerRunOnceOutcome
from heatherdyke.messages import RunOutcome
from heatherdyke.messages import RunOutcomeState
from heatherdyke.messages import RunRequest
from heatherdyke.messages import RunTickets
from heatherdyke.net.http_payloads import json_response
from heatherdyke.net.http_payloads import problem_response
from heatherdyke.net.http_payloads import read_message
from heatherdyke.net.http_routes import Applications
from heatherdyke.net.http_routes import add_route
from heatherdyke.request_errors import InvalidRequest
from heatherdyke.request_errors import RequestError
from heatherdyke.request_errors import RunRefused
from heatherdyke.request_errors import RunState
from heatherdyke.run_once.driver import LocalRun
from heatherdyke.run_once.outcome import key_reused_error
from heatherdyke.run_once.outcome import raise_for_outcome
from heatherdyke.run_once.outcome import to_outcome
from heatherdyke.run_once.registry import RunRegistry
from heatherdyke.run_once.state_machine import RunIntent
from heatherdyke.run_once.state_machine import RunPhase
from heatherdyke.run_once.tickets import MAX_TICKETS_PER_CALL
from heatherdyke.run_once.tickets import Ticket
from heatherdyke.search.request_tracker import RequestTracker

KEY_PATTERN = re.compile(r"[A-Za-z0-9._~:-]{1,200}")
LOOKUP_TIMEOUT_S = 5.0
UNSTORED_RETRY_S = 1.0
RUNNING_STATUS = 202
MAX_DEADLINE_MS = 600_000
DEFAULT_PRIORITY = 5


class RunOnceServer:
    """Serves ``/runs`` to callers and ``/peer/run-once`` to instances."""

    def __init__(
        self,
        runs: RunRegistry,
        config: ConfigView,
        active_requests: RequestTracker,
        clock: Clock,
        stop_timeout_s: float,
        truthful: bool = True,
    ) -> None:
        self._runs = runs
        self._config = config
        self._active_requests = active_requests
        self._clock = clock
        self._stop_timeout_s = stop_timeout_s
        self._truthful = truthful
        self._authenticator = CallerAuthenticator(config)

    def add_routes(self, apps: Applications) -> None:
        """Add the routes for callers and peers."""
        add_route(
            apps.callers,
            "POST",
            "/runs/tickets",
            self._admit_and_handle_errors(self._issue_tickets),
        )
        add_route(
            apps.callers,
            "POST",
            "/runs",
            self._admit_and_handle_errors(self._post),
        )
        add_route(
            apps.callers,
            "GET",
            "/runs/{key}",
            self._admit_and_handle_errors(self._get),
        )
        add_route(
            apps.callers,
            "DELETE",
            "/runs/{key}",
            self._admit_and_handle_errors(self._withdraw),
        )
        add_route(
            apps.internal, "POST", "/peer/run-once", self._answer_holder_query
        )

    async def run(self) -> None:
        """Retry to store outcomes in the platform until cancelled."""
        while True:
            await asyncio.sleep(UNSTORED_RETRY_S)
            await self._runs.retry_unstored()

    async def stop(self) -> None:
        """Wait until runs have ended and their results are stored."""
        await self._runs.wait_until_stored(
            self._clock.now() + self._stop_timeout_s
        )

    async def answer_as_holder(
        self, holder_query: PeerRunOnce
    ) -> PeerRunOnceOutcome:
        """Return the outcome of a key whose holder is this incarnation."""
        until = self._clock.now() + holder_query.remaining_ms / 1000
        intent = RunIntent(holder_query.intent)
        run = self._runs.find(holder_query.team, holder_query.key)
        if run is None and not self._owns_ticket(holder_query.key):
            return PeerRunOnceOutcome()
        if run is not None and holder_query.attempt not in ("", run.attempt):
            return PeerRunOnceOutcome()
        run = self._runs.find_or_create(
            holder_query.team, holder_query.key, intent, until
        )
        run.fingerprint = run.fingerprint or holder_query.fingerprint
        if holder_query.fingerprint not in ("", run.fingerprint):
            return PeerRunOnceOutcome(RunPhase.REUSED.value)
        self._runs.start(run, holder_query.request, holder_query.priority)
        if intent is RunIntent.RUN:
            await self._runs.wait(run, until)
        return PeerRunOnceOutcome(
            run.progress.phase.value, run.result, run.detail
        )

    def _admit_and_handle_errors(self, handle: Callable) -> Callable:
        """Wrap a handler to admit requests and return errors as problems.

        InvalidRequest and RunRefused keep their run state.  Any other
        RequestError reports that the request may have run, as an earlier
        delivery of the same key may have.  Unless ``truthful``, every
        RequestError reports that it did not run.
        """

        async def wrapped(request: Request) -> Response:
            try:
                with self._active_requests.admit():
                    return await handle(request)
            except RequestError as error:
                self._set_run_state(error)
                return problem_response(error)
            except HeatherdykeError as error:
                return problem_response(error)

        return wrapped

    async def _issue_tickets(self, request: Request) -> Response:
        self._authenticator.find_team(request)
        count = _read_count(request)
        tickets = self._runs.tickets.issue(count)
        return json_response(RunTickets([t.key for t in tickets]))

    async def _post(self, request: Request) -> Response:
        key = _check_key(request.headers.get_first(b"Idempotency-Key"))
        message = await read_message(request, RunRequest)
        _check_deadline(message)
        team = self._authenticator.find_team(request)
        section = self._authenticator.current().check_access(
            team, message.service
        )
        service = section.services[message.service]
        _check_mode(service, key)
        chosen = replace(message, shard=_choose_shard(service, message))
        deadline_ms = message.deadline_ms or service.run_deadline_ms
        expires_at = self._clock.now() + deadline_ms / 1000
        fingerprint = _fingerprint(message)
        run = self._runs.find_or_create(
            team, key, RunIntent.RUN, expires_at, fingerprint
        )
        run.fingerprint = run.fingerprint or fingerprint
        if run.fingerprint != fingerprint:
            raise key_reused_error(key)
        priority = _find_priority(self._section_of(team), message.urgency)
        self._runs.start(run, chosen, priority)
        await self._runs.wait(run, expires_at)
        raise_for_outcome(run)
        outcome = to_outcome(run)
        running = outcome.state is RunOutcomeState.RUNNING
        return json_response(outcome, RUNNING_STATUS if running else 200)

    async def _get(self, request: Request) -> Response:
        return json_response(
            await self._find_outcome(request, RunIntent.LOOKUP)
        )

    async def _withdraw(self, request: Request) -> Response:
        return json_response(
            await self._find_outcome(request, RunIntent.WITHDRAW)
        )

    async def _find_outcome(
        self, request: Request, intent: RunIntent
    ) -> RunOutcome:
        team = self._authenticator.find_team(request)
        key = _check_key(request.route_values["key"].encode())
        until = self._clock.now() + LOOKUP_TIMEOUT_S
        run = self._runs.find_or_create(team, key, intent, until)
        self._runs.start(run)
        if lookup_waits(run):
            await self._runs.wait(run, until)
        raise_for_outcome(run, is_lookup=True)
        return to_outcome(run)

    async def _answer_holder_query(self, request: Request) -> Response:
        try:
            holder_query = await read_message(request, PeerRunOnce)
        except InvalidRequest as error:
            return problem_response(error)
        return json_response(await self.answer_as_holder(holder_query))

    def _set_run_state(self, error: RequestError) -> None:
        if not self._truthful:
            error.run_state = RunState.NOT_RUN
        elif not isinstance(error, (InvalidRequest, RunRefused)):
            error.run_state = RunState.MAY_HAVE_RUN

    def _owns_ticket(self, key: str) -> bool:
        ticket = Ticket.from_key(key)
        return ticket is not None and self._runs.tickets.is_own(ticket)

    def _section_of(self, team: str) -> SectionConfig:
        return self._config.document.section_by_team[team]


def lookup_waits(run: LocalRun) -> bool:
    """Tell whether a lookup waits for the driver task of the run.

    A run whose holder is this instance may take long, so its lookup returns
    at once.  If another instance is the holder, the task only queries it, and
    the lookup waits so that the outcome is not older than the lookup.
    """
    return (
        run.progress.intent is not RunIntent.RUN or not run.progress.is_holder
    )


def _check_key(header: bytes | None) -> str:
    key = (header or b"").decode("latin-1").strip('"')
    if not KEY_PATTERN.fullmatch(key):
        raise InvalidRequest(
            "the Idempotency-Key is missing or not 1 to 200 of the "
            "characters A-Z a-z 0-9 . _ ~ : -",
            "send one new key with each request",
        )
    return key


def _check_deadline(message: RunRequest) -> None:
    deadline_ms = message.deadline_ms
    if deadline_ms is not None and not 0 < deadline_ms <= MAX_DEADLINE_MS:
        raise InvalidRequest(
            f"deadline_ms {deadline_ms} is out of range",
            f"give 1 to {MAX_DEADLINE_MS}",
        )


def _check_mode(service: ServiceConfig, key: str) -> None:
    """Check that the service accepts the key; raises InvalidRequest."""
    is_ticket = Ticket.from_key(key) is not None
    if service.run_once is RunOnceMode.NONE:
        raise InvalidRequest(
            "the service accepts no requests that run at most once",
            "set run_once in its section, or send a search",
            RunState.MAY_HAVE_RUN,
        )
    if service.run_once is RunOnceMode.TICKET and not is_ticket:
        raise InvalidRequest(
            "the service accepts only tickets as keys",
            "get one by POST /runs/tickets and send it as Idempotency-Key",
            RunState.MAY_HAVE_RUN,
        )
    if service.run_once is RunOnceMode.RECORDED and is_ticket:
        raise InvalidRequest(
            "the service accepts only keys chosen by the caller",
            "send a key that is not a ticket",
            RunState.MAY_HAVE_RUN,
        )


def _choose_shard(service: ServiceConfig, message: RunRequest) -> str:
    shards = sorted(service.shards)
    if message.shard is None and shards:
        index = xxh3_64_intdigest(message.argument.encode()) % len(shards)
        return shards[index]
    if message.shard not in service.shards:
        raise InvalidRequest(
            f"the service has no shard {message.shard!r}",
            "name one of its shards, or none to select one by the argument",
            RunState.MAY_HAVE_RUN,
        )
    return message.shard


def _fingerprint(message: RunRequest) -> str:
    """Return the digest of the fields that a key's requests must share."""
    identifying = replace(message, deadline_ms=None, urgency="")
    return sha256(encode(identifying)).hexdigest()


def _find_priority(section: SectionConfig, urgency: str) -> int:
    known = section.urgency.get(urgency)
    return known.priority if known is not None else DEFAULT_PRIORITY


def _read_count(request: Request) -> int:
    values = request.query.get("count") or ["1"]
    if not values[0].isascii() or not values[0].isdigit():
        raise InvalidRequest(
            f"count {values[0]!r} is not a number",
            f"give 1 to {MAX_TICKETS_PER_CALL}",
        )
    count = int(values[0])
    if not 0 < count <= MAX_TICKETS_PER_CALL:
        raise InvalidRequest(
            f"count {count} is out of range",
            f"give 1 to {MAX_TICKETS_PER_CALL}",
        )
    return count
