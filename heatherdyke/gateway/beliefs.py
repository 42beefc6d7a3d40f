"""Takes what the store says into the state that requests use."""

from collections.abc import Callable

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.adoption import Adoption
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.events import CONFIG_APPLIED
from heatherdyke.gateway.events import CONFIG_BEHIND
from heatherdyke.gateway.events import CONFIG_DEFERRED
from heatherdyke.gateway.events import CONFIG_REJECTED
from heatherdyke.gateway.events import LEAF_ENTRY_INVALID
from heatherdyke.gateway.events import LEAF_REMOVED
from heatherdyke.gateway.events import LEAF_UPDATED
from heatherdyke.gateway.events import ZONES_OUT_CHANGED
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.routing import RouteTable
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.platform.configuration import NAME as CONFIG_NAME
from heatherdyke.platform.configuration import decode_configuration
from heatherdyke.platform.discovery import decode_leaf
from heatherdyke.platform.instances import decode_instance
from heatherdyke.platform.store import Change
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store import StoredObject

# A zone whose services declare no cold time is taken as cold this long.
DEFAULT_COLD_S = 3.0
# Leafs become warm one by one.
RECHECK_S = 0.05
# A change reaches all instances within some hundredths of a second.
BEHIND_S = 0.5
# A list that is under way is given this long, also by a slow store.
REFRESH_EVERY_S = 5.0


class Beliefs:
    """Hears the feeds of configuration, leafs, zones and instances.

    ``refresh_config`` has the configuration listed again; the owner sets it.
    """

    __slots__ = ("refresh_config", "_core", "_adoption", "_check_again_at")

    def __init__(self, core: Core) -> None:
        self._core = core
        self._adoption = Adoption()
        self._check_again_at = 0.0
        self.refresh_config: Callable[[], None] = lambda: None

    def config_listed(self, listing: Listing, may_be_back: bool) -> None:
        """Take in the configuration, if there is one."""
        for stored in listing.objects:
            config = self._read(stored)
            if config is not None:
                self._put_in_force(config)

    def config_changed(self, change: Change, may_be_back: bool) -> None:
        """Take in a new version; a deleted one leaves the last in force."""
        config = None if change.deleted else self._read(change.object)
        if config is None:
            return
        core = self._core
        held = self._adoption.config is not None
        now = core.loop.time()
        self._adoption.hear(config, now, core.settings.bounds.config_s)
        self._adopt_if_due()
        if not held and self._adoption.config is not None:
            core.log.record(CONFIG_DEFERRED, version=config.version)
            core.loop.call_later(RECHECK_S, self._recheck)

    def hear_version(self, version: int) -> None:
        """Take in that another instance has a version in force."""
        held = self._adoption.config
        if held is not None and version >= held.version:
            self._put_in_force(held)
        now = self._core.loop.time()
        if version > self._newest_version() and now >= self._check_again_at:
            self._check_again_at = now + REFRESH_EVERY_S
            self._core.loop.call_later(BEHIND_S, self._check_behind, version)

    def _newest_version(self) -> int:
        versions = (self._core.config, self._adoption.config)
        return max((c.version for c in versions if c is not None), default=0)

    def _check_behind(self, version: int) -> None:
        """List again if the version that others have still has not come."""
        known = self._newest_version()
        if known < version:
            self._core.log.record(CONFIG_BEHIND, version=version, known=known)
            self.refresh_config()

    def leafs_listed(self, listing: Listing, may_be_back: bool) -> None:
        """Take in all leafs' entries."""
        entries = [
            entry
            for stored in listing.objects
            if (entry := self._decode(stored)) is not None
        ]
        now = self._core.loop.time()
        table = self._core.leafs
        before = set(table.leaf_by_id)
        for leaf in table.replace(entries, now, may_be_back):
            self._dropped(leaf, "not_listed")
        for entry in entries:
            if entry.leaf_id not in before:
                self._log_entry(entry)

    def leaf_changed(self, change: Change, may_be_back: bool) -> None:
        """Take in one leaf's entry or its removal."""
        now = self._core.loop.time()
        name = change.object.name
        entry = None if change.deleted else self._decode(change.object)
        if entry is None:
            leaf = self._core.leafs.remove(name, now, may_be_back)
            if leaf is not None:
                self._dropped(leaf, "entry_gone")
            return
        leaf = self._core.leafs.apply(entry, now)
        if leaf is not None:
            self._dropped(leaf, "restarted")
        self._log_entry(entry)

    def expire_leafs(self, now: float) -> None:
        """Drop the leafs whose entries did not come back."""
        for leaf in self._core.leafs.expire(now):
            self._dropped(leaf, "entry_did_not_return")

    def zones_listed(self, listing: Listing, may_be_back: bool) -> None:
        """Take in which zones operators took out."""
        self._set_zones(frozenset(item.name for item in listing.objects))

    def zone_changed(self, change: Change, may_be_back: bool) -> None:
        """Take in that a zone was taken out or back."""
        zones = self._core.leafs.zones_out
        name = frozenset((change.object.name,))
        self._set_zones(zones - name if change.deleted else zones | name)

    def instances_listed(self, listing: Listing) -> None:
        """Take in which instances there are."""
        entries = [
            entry
            for stored in listing.objects
            if (entry := decode_instance(stored.name, stored.spec)) is not None
        ]
        self._core.set_instances(entries)

    def _read(self, stored: StoredObject) -> RoutingConfig | None:
        """Return the version that is newer than all known, if it is one."""
        if stored.name != CONFIG_NAME:
            return None
        try:
            config = decode_configuration(stored.spec)
        except UnreadableObject as error:
            self._core.log.record(CONFIG_REJECTED, reason=error.detail)
            return None
        for known in (self._core.config, self._adoption.config):
            if known is not None and config.version <= known.version:
                return None
        return config

    def _recheck(self) -> None:
        self._adopt_if_due()
        if self._adoption.config is not None:
            self._core.loop.call_later(RECHECK_S, self._recheck)

    def _adopt_if_due(self) -> None:
        core = self._core
        config = self._adoption.take(
            core.config, core.warm_share, core.loop.time()
        )
        if config is not None:
            self._put_in_force(config)

    def _put_in_force(self, config: RoutingConfig) -> None:
        core = self._core
        known = core.config
        self._adoption.config = None
        core.routes = RouteTable(config)
        core.log.record(
            CONFIG_APPLIED,
            version=config.version,
            previous=known.version if known is not None else None,
            routes=len(config.routes),
        )

    def _decode(self, stored: StoredObject) -> LeafEntry | None:
        entry = decode_leaf(stored.name, stored.spec)
        if entry is None:
            self._core.log.record(LEAF_ENTRY_INVALID, leaf=stored.name)
        return entry

    def _set_zones(self, zones: frozenset[str]) -> None:
        core = self._core
        if zones == core.leafs.zones_out:
            return
        core.log.record(ZONES_OUT_CHANGED, zones=sorted(zones))
        config = core.config
        services = config.service_by_name.values() if config else ()
        cold_s = max(
            [DEFAULT_COLD_S, *(service.cold_s for service in services)]
        )
        core.leafs.set_zones_out(zones, core.loop.time(), cold_s)

    def _dropped(self, leaf: Leaf, why: str) -> None:
        self._core.drop_leaf(leaf)
        self._core.log.record(
            LEAF_REMOVED,
            leaf=leaf.leaf_id,
            service=leaf.entry.service,
            why=why,
        )

    def _log_entry(self, entry: LeafEntry) -> None:
        self._core.log.record(
            LEAF_UPDATED,
            leaf=entry.leaf_id,
            service=entry.service,
            zone=entry.zone,
            state="draining" if entry.draining else "ready",
            cold_s=entry.cold_s,
            sequence=entry.sequence,
        )
