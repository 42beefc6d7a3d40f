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
    found = [
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
