"""Decides the changes of a zone's roster; pure.

A roster changes by conditional update only, so each generation has one
content.  Any instance may change it; the rules below hold for all of them.
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
    """Return the roster with all joins and leaves in one generation.

    ``leaving`` holds incarnations.  A joining member takes the place of an
    earlier incarnation of its name.  Returns ``roster`` if nothing changes.
    """
    member_by_name = {member.name: member for member in roster.members}
    gone = set(leaving)
    for member in roster.members:
        if member.incarnation in gone:
            del member_by_name[member.name]
    for member in joining:
        if member.incarnation not in gone:
            member_by_name[member.name] = member
    members = tuple(member_by_name.values())[:MAX_MEMBERS]
    if members == roster.members:
        return roster
    history = roster.history
    if roster.members:
        former = Generation(roster.generation, roster.members)
        history = (*history, former)
    return Roster(roster.zone, roster.generation + 1, members, history)


def prune_history(
    roster: Roster, has_ended: Callable[[str, int], bool]
) -> Roster:
    """Return the roster without the generations nobody acts under.

    ``has_ended(incarnation, generation)`` tells whether the incarnation is
    known to do nothing any more under that generation.
    """
    history = tuple(
        former
        for former in roster.history
        if not all(
            has_ended(member.incarnation, former.number)
            for member in former.members
        )
    )
    return replace(roster, history=history)
