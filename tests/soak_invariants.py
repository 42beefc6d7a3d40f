"""The invariants of the soak test, checked on what callers and leafs saw."""

from collections import Counter
from dataclasses import dataclass

from soak_client import SentRequest
from soak_fleet import LATE_TOLERANCE_S
from soak_fleet import SHARDS
from soak_fleet import UNSAFE_KINDS
from soak_fleet import services_for

from heatherdyke.platform_standin.leaf import StandinLeaf

MAX_ATTEMPTS = 2
# The bound on arrivals beyond the first of each request, as in the settings.
BUDGET_SHARE = 0.2
BUDGET_SLACK = 50
BUDGET_WINDOW_S = 10.0


@dataclass
class SoakRecord:
    """The requests sent, the leafs with their runs, and the disruptions.

    A disruption is the name of a gateway and the period in which it was
    killed or paused.
    """

    sent: list[SentRequest]
    leafs: list[StandinLeaf]
    disruptions: list[tuple[str, float, float]]


def violations(record: SoakRecord) -> list[str]:
    """Return a description of each violated invariant."""
    runs_by_id: dict[str, Counter] = {}
    for leaf in record.leafs:
        for run in leaf.runs:
            runs = runs_by_id.setdefault(run.decode(), Counter())
            runs[leaf.service] += 1
    sent_by_id = {sent.request_id: sent for sent in record.sent}
    found = arrival_violations(record)
    found += [
        f"{arrival} was never sent by a client"
        for leaf in record.leafs
        for arrival in leaf.received_requests
        if arrival.request_id.decode() not in sent_by_id
    ]
    for request_id, sent in sent_by_id.items():
        runs = runs_by_id.get(request_id, Counter())
        found += run_violations(sent, runs)
        found += answer_violations(sent)
        found += completion_violations(record, sent)
    return found


def arrival_violations(record: SoakRecord) -> list[str]:
    """Check how many leafs got a request, and each service in a window."""
    found = []
    arrivals_by_service: dict[str, list[tuple[float, str]]] = {}
    for leaf in record.leafs:
        arrivals = arrivals_by_service.setdefault(leaf.service, [])
        arrivals += [
            (item.at, item.request_id.decode())
            for item in leaf.received_requests
        ]
    for service, arrivals in arrivals_by_service.items():
        counts = Counter(request_id for _, request_id in arrivals)
        found += [
            f"{request_id} reached {count} leafs of {service}"
            for request_id, count in counts.items()
            if count > MAX_ATTEMPTS
        ]
        sent = [
            item.began_at
            for item in record.sent
            if service in services_for(item.kind)
        ]
        found += extra_violations(service, sorted(arrivals), sent)
    return found


def extra_violations(
    service: str, arrivals: list[tuple[float, str]], sent: list[float]
) -> list[str]:
    """Check the arrivals beyond the first of each request."""
    known: set[str] = set()
    extras = []
    for at, request_id in arrivals:
        if request_id in known:
            extras.append(at)
        known.add(request_id)
    for end in extras:
        count = sum(end - BUDGET_WINDOW_S < at <= end for at in extras)
        starts = [end - x * BUDGET_WINDOW_S for x in (1.0, 1.5, 2.0)]
        requests = max(
            sum(start < at <= start + BUDGET_WINDOW_S for at in sent)
            for start in starts
        )
        if count > BUDGET_SHARE * requests + BUDGET_SLACK:
            return [f"{service}: {count} extra arrivals, {requests} requests"]
    return []


def run_violations(sent: SentRequest, runs: Counter) -> list[str]:
    """Check at which services and how often a request ran."""
    found = [
        f"{sent.request_id} ran at {service}"
        for service in runs.keys() - services_for(sent.kind)
    ]
    total = sum(runs.values())
    is_unsafe = sent.kind in UNSAFE_KINDS
    if is_unsafe and total > 1:
        found.append(f"{sent.request_id} ran {total} times")
    if any(count > MAX_ATTEMPTS for count in runs.values()):
        found.append(f"{sent.request_id} ran too often: {runs}")
    refused = sent.answer is not None and sent.answer.status in (429, 503)
    if is_unsafe and refused and total:
        found.append(f"{sent.request_id} was refused and ran")
    return found


def answer_violations(sent: SentRequest) -> list[str]:
    """Check that a success is complete and belongs to this request."""
    answer = sent.answer
    if answer is None or answer.status != 200:
        return []
    if sent.kind != "s":
        signature = answer.value_by_header["x-response-stamp"]
        is_own = signature.endswith(f".{sent.request_id}")
        is_complete = len(answer.body) == 160
        return (
            []
            if is_own and is_complete
            else [f"{sent.request_id}: {signature}"]
        )
    signatures = answer.value_by_header["x-part-stamps"].split(", ")
    missing = int(answer.value_by_header["x-missing-parts"])
    shards = {signature.split("-")[0] for signature in signatures}
    body = answer.body
    records = [body[at : at + 16] for at in range(0, len(body), 16)]
    is_valid = (
        all(item.endswith(f".{sent.request_id}") for item in signatures)
        and len(shards) == len(signatures)
        and len(shards) + missing == len(SHARDS)
        and records == sorted(records, reverse=True)
        and len(records) == min(20, 10 * len(shards))
    )
    return [] if is_valid else [f"{sent.request_id}: {signatures} {missing}"]


def completion_violations(record: SoakRecord, sent: SentRequest) -> list[str]:
    """Check that a request is answered, and in time.

    Requests to a process that was killed or paused meanwhile are exempt.  A
    connection may be closed just as the request arrives, but not once the
    request has run, nor because the process is stopped.
    """
    for name, from_s, to_s in record.disruptions:
        overlaps = sent.began_at < to_s and sent.ended_at > from_s
        if name == sent.gateway and overlaps:
            return []
    took_s = sent.ended_at - sent.began_at
    if took_s > sent.wait_s + LATE_TOLERANCE_S:
        return [f"{sent.request_id} took {took_s:.2f} s"]
    if sent.answer is None and sent.fully_sent:
        ran = any(
            sent.request_id.encode() in leaf.runs for leaf in record.leafs
        )
        return [f"ran and got no response: {sent}"] if ran else []
    return []
