"""The promises that the soak checks, by what callers and leafs saw."""

from collections import Counter
from dataclasses import dataclass

from soak_fleet import LATE_S
from soak_fleet import SHARDS
from soak_fleet import WAIT_S
from soak_fleet import Sent
from soak_fleet import services_for

from heatherdyke.platform_standin.leaf import StandinLeaf

MAX_ATTEMPTS = 2


@dataclass
class Books:
    """What was sent, the leafs with what they ran, and what was disturbed.

    A disturbance names a gateway and when it was killed or stood still.
    """

    sent: list[Sent]
    leafs: list[StandinLeaf]
    disturbed: list[tuple[str, float, float]]


def violations(books: Books) -> list[str]:
    """Return every promise that was broken, by the books."""
    runs_by_id: dict[str, Counter] = {}
    for leaf in books.leafs:
        for run in leaf.runs:
            runs = runs_by_id.setdefault(run.decode(), Counter())
            runs[leaf.service] += 1
    sent_by_id = {sent.request_id: sent for sent in books.sent}
    seen = [
        f"{arrival} was never sent"
        for leaf in books.leafs
        for arrival in leaf.received_requests
        if arrival.request_id.decode() not in sent_by_id
    ]
    for request_id, sent in sent_by_id.items():
        runs = runs_by_id.get(request_id, Counter())
        seen += wrong_runs(sent, runs)
        seen += wrong_answer(sent)
        seen += wrong_end(books, sent)
    return seen


def wrong_runs(sent: Sent, runs: Counter) -> list[str]:
    """Check where and how often a request ran."""
    seen = [
        f"{sent.request_id} ran at {service}"
        for service in runs.keys() - services_for(sent.kind)
    ]
    total = sum(runs.values())
    if sent.kind == "u" and total > 1:
        seen.append(f"{sent.request_id} ran {total} times")
    if any(count > MAX_ATTEMPTS for count in runs.values()):
        seen.append(f"{sent.request_id} ran too often: {runs}")
    refused = sent.answer is not None and sent.answer.status in (429, 503)
    if sent.kind == "u" and refused and total:
        seen.append(f"{sent.request_id} was refused and ran")
    return seen


def wrong_answer(sent: Sent) -> list[str]:
    """Check that a success is a leaf's, whole, and this request's."""
    answer = sent.answer
    if answer is None or answer.status != 200:
        return []
    if sent.kind != "s":
        signature = answer.value_by_header["x-response-stamp"]
        own = signature.endswith(f".{sent.request_id}")
        whole = len(answer.body) == 160
        return [] if own and whole else [f"{sent.request_id}: {signature}"]
    signatures = answer.value_by_header["x-part-stamps"].split(", ")
    missing = int(answer.value_by_header["x-missing-parts"])
    shards = {signature.split("-")[0] for signature in signatures}
    body = answer.body
    records = [body[at : at + 16] for at in range(0, len(body), 16)]
    right = (
        all(item.endswith(f".{sent.request_id}") for item in signatures)
        and len(shards) == len(signatures)
        and len(shards) + missing == len(SHARDS)
        and records == sorted(records, reverse=True)
        and len(records) == min(20, 10 * len(shards))
    )
    return [] if right else [f"{sent.request_id}: {signatures} {missing}"]


def wrong_end(books: Books, sent: Sent) -> list[str]:
    """Check that a request ends in time, and with an answer.

    A process that was killed or stood still meanwhile owes neither.  A
    connection that was open already may be closed as the request comes, but
    not once it has begun to run.
    """
    for name, from_s, to_s in books.disturbed:
        meets = sent.began_at < to_s and sent.ended_at > from_s
        if name == sent.gateway and meets:
            return []
    took_s = sent.ended_at - sent.began_at
    if took_s > WAIT_S + LATE_S:
        return [f"{sent.request_id} took {took_s:.2f} s"]
    if sent.answer is None and sent.whole and not sent.reused:
        ran = any(
            sent.request_id.encode() in leaf.runs for leaf in books.leafs
        )
        return [f"{sent.request_id} ran and got no answer"] if ran else []
    return []
