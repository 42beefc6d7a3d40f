"""Computes changes of a zone's roster, without I/O.

A roster changes by conditional update only, so that each generation has one
content.  Any instance may change it, and all follow the rules below.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace

from heatherdyke.membership.messages import Generation
from heatherdyke.membership.messages import Member
from heatherdyke.membership.messages import Roster

MAX_MEMBERS = 256


def replace_members(
    roster: Roster, joining: Iterable[Member], leaving: Iterable[str]
) -> Roster:
    """Return the roster with all joins and leaves in one new generation.

    ``leaving`` contains incarnations.  A joining member replaces an earlier
    incarnation of the same name.  Members beyond MAX_MEMBERS are left out.
    Returns ``roster`` if nothing changes.
    """
    member_by_name = {member.name: member for member in roster.members}
    removed = set(leaving)
    for member in roster.members:
        if member.incarnation in removed:
            del member_by_name[member.name]
    for member in joining:
        if member.incarnation not in removed:
            member_by_name[member.name] = member
    members = tuple(member_by_name.values())[:MAX_MEMBERS]
    if members == roster.members:
        return roster
    history = roster.history
    if roster.members:
        previous = Generation(roster.generation, roster.members)
        history = (*history, previous)
    return Roster(roster.zone, roster.generation + 1, members, history)


def prune_history(
    roster: Roster, has_ended: Callable[[str, int], bool]
) -> Roster:
    """Return the roster without the generations that have no work left.

    ``has_ended(incarnation, generation)`` tells whether the incarnation is
    known to have no more work of that generation.
    """
    history = tuple(
        previous
        for previous in roster.history
        if not all(
            has_ended(member.incarnation, previous.number)
            for member in previous.members
        )
    )
    return replace(roster, history=history)
