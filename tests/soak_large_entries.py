"""Large entries of another writer, beside the faults of a soak."""

import asyncio
from random import Random

from large_entries import odd_spec
from soak_fleet import SoakFleet

# What an entry that no decoder reads is full of.
ELEMENTS = (b"[]", b"[[],[[]]]", b'{"x":[{}]}', b'""', b'"\\ud83d"', b"7")
NAMES = 4
MAX_SERIES = 3
SERIES_INTERVAL_S = 0.1


async def store_large_entries(fleet: SoakFleet, random: Random) -> None:
    """Store some in series, and delete one that may be among them."""
    for _ in range(random.randint(1, MAX_SERIES)):
        spec = odd_spec(random.choice(ELEMENTS))
        fleet.store.put("servers", f"large-{random.randrange(NAMES)}", spec)
        await asyncio.sleep(SERIES_INTERVAL_S)
    fleet.store.delete("servers", f"large-{random.randrange(NAMES)}")
