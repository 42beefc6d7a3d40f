"""Rendezvous (highest random weight) hashing of leaves over members.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from heatherdyke.membership.messages import Member


def weight(leaf_id: str, member: Member) -> tuple[int, str]:
    """Return the weight of ``member`` for the leaf; names break ties."""
    key = f"{leaf_id}\n{member.name}".encode()
    return xxh3_64_intdigest(key), member.name


def rank(leaf_id: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by decreasing weight for the leaf."""
    return sorted(
        members, key=lambda member: weight(leaf_id, member), reverse=True
    )
