"""Converts finished leaf work into the parts that its home reports (pure)."""

from heatherdyke.leaves.work import LeafWork
from heatherdyke.messages import Item
from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafRefusal
from heatherdyke.messages import Part
from heatherdyke.messages import PartState

STATE_BY_REFUSAL = {
    "deadline": PartState.LATE,
    "not_home": PartState.NOT_HOME,
    "snapshot_gone": PartState.SNAPSHOT_GONE,
    "shard_split": PartState.SPLIT,
}


def items_of(answer: LeafAnswer) -> list[Item]:
    """Return the answer's items, each with its shard."""
    return [
        Item(item.id, item.score, item.text, answer.shard)
        for item in answer.items
    ]


def to_part(work: LeafWork) -> Part:
    """Return the part that reports finished work.

    It is LOST if there is neither an answer nor a refusal.  ``asked`` is the
    number of searches sent to the leaf, 0 or 1.
    """
    outcome = work.outcome
    state = PartState.LOST
    total = 0
    snapshots: list[int] = []
    children: list[str] = []
    if isinstance(outcome, LeafAnswer):
        total = outcome.total
        state = PartState.WHOLE
        if outcome.truncated:
            state = PartState.TRUNCATED
    elif isinstance(outcome, LeafRefusal):
        state = STATE_BY_REFUSAL.get(outcome.kind, PartState.REFUSED)
        snapshots = outcome.snapshots
        children = outcome.children
    return Part(
        work.request.shard,
        work.leaf_id,
        state,
        total,
        snapshots,
        children,
        leaf_ms=work.took_s * 1000,
        asked=int(work.sent),
        draining=work.draining,
        load=work.load,
        level=work.level,
        incarnation=work.incarnation,
    )
