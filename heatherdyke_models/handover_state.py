"""The state of the handover model, and how it ages by one tick.

All times are relative to now.
"""

from dataclasses import dataclass
from dataclasses import replace
from functools import cache
from typing import Any

from heatherdyke.membership.lease_snapshot import LeaseSnapshot
from heatherdyke.membership.lease_timing import LeaseTiming
from heatherdyke.membership.messages import Roster

SHORT_TICKS = 1
LONG_TICKS = 2
TIMING = LeaseTiming(
    lease_s=1.0,
    short_work_s=float(SHORT_TICKS),
    max_work_s=float(LONG_TICKS),
    transit_s=0.0,
    drift=0.0,
)
STALE_AGE = int(TIMING.lease_s) + 1


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply of the platform or a peer in flight.

    ``age`` is the ticks since the roster was confirmed; for a reply of the
    platform, since the request.
    """

    version: int
    roster: Roster
    age: int


@dataclass(frozen=True, slots=True)
class Node:
    """One instance: its lease state, a reply in flight, and its work.

    ``work`` holds the remaining ticks of each request at the leaf.
    """

    view: LeaseSnapshot
    reply: Reply | None = None
    work: tuple[int, ...] = ()
    alive: bool = True


# The platform's roster version and roster, then one Node per instance.
State = tuple[Any, ...]


def replace_node(state: State, index: int, node: Node) -> State:
    """Return the state with another node at ``index``."""
    return (*state[: 2 + index], node, *state[3 + index :])


@cache
def aged(node: Node) -> Node:
    """Return the node one tick later."""
    work = tuple(ticks - 1 for ticks in node.work if ticks > 1)
    reply = node.reply
    if reply is not None:
        age = min(reply.age + 1, STALE_AGE)
        reply = replace(reply, age=age)
    view = _aged_view(node.view)
    if not work:
        view = replace(view, busy_generations=())
    return replace(node, work=work, reply=reply, view=view)


def _aged_view(view: LeaseSnapshot) -> LeaseSnapshot:
    age_s = view.confirmed_age_s
    if age_s is not None:
        age_s = age_s + 1 if age_s + 1 <= TIMING.lease_s else None
    longest_s = TIMING.wait_s(TIMING.max_work_s)
    return replace(
        view,
        confirmed_age_s=age_s,
        superseded_age_s=tuple(
            (number, min(age + 1, TIMING.expiry_wait_s))
            for number, age in view.superseded_age_s
        ),
        gone=tuple(
            replace(gone, age_s=min(gone.age_s + 1, longest_s))
            for gone in view.gone
        ),
    )
