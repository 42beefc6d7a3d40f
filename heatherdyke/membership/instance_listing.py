"""Lists the running instances from the platform's data."""

from heatherdyke.config.model import ROSTER_PREFIX
from heatherdyke.membership.messages import Roster
from heatherdyke.messages import InstanceKind
from heatherdyke.messages import InstanceState
from heatherdyke.objects.client import ObjectClient
from heatherdyke.objects.client import convert_value
from heatherdyke.observe.http_api import KnownInstance


async def list_instances(platform: ObjectClient) -> list[KnownInstance]:
    """Return the instances of the platform's list and the rosters.

    Each address is returned once.  The list lags behind, and the rosters
    contain only members; both may contain an instance that has ended.
    Instances that the list shows as leaving are omitted.

    Raises PlatformUnavailable, or msgspec.ValidationError if a stored object
    is no roster.
    """
    known_by_address: dict[str, KnownInstance] = {}
    leaving: set[str] = set()
    for stored in await platform.list(ROSTER_PREFIX):
        for member in convert_value(stored, Roster).members:
            known_by_address[member.address] = KnownInstance(
                member.name, member.zone, member.address
            )
    for row in await platform.instances():
        if row.kind is not InstanceKind.ENTRY:
            continue
        if row.state is InstanceState.LEAVING:
            leaving.add(row.address)
        known_by_address[row.address] = KnownInstance(
            row.name, row.zone, row.address
        )
    return [
        known
        for address, known in known_by_address.items()
        if address not in leaving
    ]
