"""Applies the store's lists and changes to the state that requests use."""

import asyncio
from collections.abc import Callable

from heatherdyke.errors import UnreadableObject
from heatherdyke.gateway.config_activation import PendingConfig
from heatherdyke.gateway.events import CONFIG_APPLIED
from heatherdyke.gateway.events import CONFIG_BEHIND
from heatherdyke.gateway.events import CONFIG_HELD
from heatherdyke.gateway.events import CONFIG_INCOMPLETE
from heatherdyke.gateway.events import CONFIG_READ
from heatherdyke.gateway.events import CONFIG_REJECTED
from heatherdyke.gateway.events import LEAF_ENTRY_INVALID
from heatherdyke.gateway.events import LEAF_REMOVED
from heatherdyke.gateway.events import LEAF_UPDATED
from heatherdyke.gateway.events import ZONES_OUT_CHANGED
from heatherdyke.gateway.leaf_entry import LeafEntry
from heatherdyke.gateway.leaf_table import REAPPEARANCE_GRACE_S
from heatherdyke.gateway.leaf_table import Leaf
from heatherdyke.gateway.leaf_table import Removal
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.routing import RoutingConfig
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.platform.configuration import KIND as CONFIG_KIND
from heatherdyke.platform.configuration import NAME as CONFIG_NAME
from heatherdyke.platform.configuration import decode_configuration
from heatherdyke.platform.discovery import LEAF_KIND
from heatherdyke.platform.discovery import decode_leaf
from heatherdyke.platform.instances import decode_instance
from heatherdyke.platform.store import Listing
from heatherdyke.platform.store_pages import Change
from heatherdyke.platform.store_pages import StoredObject

# Minimum cold time of the leafs of a zone that returns to service.
DEFAULT_COLD_S = 3.0
# How often a held configuration is checked for leafs that became warm.
RECHECK_INTERVAL_S = 0.05
# The store delivers a change to all instances within some 10 ms, so a version
# still unknown after this long has been missed.
PEER_VERSION_CHECK_DELAY_S = 0.5
# A relist cancels the call in flight; a slow store gets this long to answer.
MIN_RELIST_INTERVAL_S = 5.0
# Pauses before a version that could not be used is read again.
FIRST_REREAD_S = 1.0
MAX_REREAD_S = 8.0
# Of the parts of a version that cannot be used, so many are logged.
MAX_REASONS = 8
# The reason why a leaf is dropped that a new incarnation replaces.
RESTARTED = "restarted"


class StateUpdater:
    """Handles lists and changes of configuration, leafs, zones and instances.

    The owner sets ``relist_config`` to a function that lists the
    configuration again, and ``on_instances_known`` to one that is called after
    each list of instances.
    """

    __slots__ = (
        "relist_config",
        "on_instances_known",
        "_shared",
        "_pending",
        "_next_check_at",
        "_reread",
        "_reread_s",
        "_absent_zones",
        "_absent_zones_until",
    )

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared
        self._pending = PendingConfig()
        self._next_check_at = 0.0
        self._reread: asyncio.TimerHandle | None = None
        self._reread_s = FIRST_REREAD_S
        # Zones that are out although a restored store lacks them.
        self._absent_zones: frozenset[str] = frozenset()
        self._absent_zones_until = 0.0
        self.relist_config: Callable[[], None] = lambda: None
        self.on_instances_known: Callable[[], None] = lambda: None

    def on_config_listed(self, listing: Listing, removal: Removal) -> None:
        """Activate the listed configuration at once if it is newer."""
        for stored in listing.objects:
            config = self._decode_if_newer(stored)
            if config is not None:
                self._log_read(config.version, stored.revision, "adopted")
                self._activate(config)

    def on_config_changed(self, change: Change, removal: Removal) -> None:
        """Hold or activate a new version; a deletion changes nothing.

        One that arrives late is not held, as it may be due already.
        """
        if change.deleted:
            return
        config = self._decode_if_newer(change.object)
        if config is None:
            return
        revision = change.object.revision
        if removal is not Removal.TIMELY:
            self._log_read(config.version, revision, "adopted")
            self._activate(config)
            return
        shared = self._shared
        was_held = self._pending.config is not None
        now = shared.loop.time()
        holds = shared.has(Mechanism.CONFIG_HOLD)
        config_s = shared.settings.bounds.config_s if holds else 0.0
        freshness = shared.freshness.by_kind[CONFIG_KIND]
        self._pending.add(config, now, config_s, freshness.complete_at)
        self._activate_if_ready()
        is_held = self._pending.config is not None
        outcome = "held" if is_held else "adopted"
        self._log_read(config.version, revision, outcome)
        if not was_held and is_held:
            shared.log.record(CONFIG_HELD, version=config.version)
            shared.loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def on_peer_config_version(self, version: int) -> None:
        """Handle the version that is active on another instance.

        A held version that another instance already uses is activated.  If
        the version is still unknown here after a delay, the store is listed
        again.
        """
        pending = self._pending.config
        if pending is not None and version >= pending.version:
            self._activate(pending)
        now = self._shared.loop.time()
        if (
            version > self._newest_known_version()
            and now >= self._next_check_at
        ):
            self._next_check_at = now + MIN_RELIST_INTERVAL_S
            self._shared.loop.call_later(
                PEER_VERSION_CHECK_DELAY_S, self._check_peer_version, version
            )

    def _newest_known_version(self) -> int:
        versions = (self._shared.config, self._pending.config)
        return max((c.version for c in versions if c is not None), default=0)

    def _check_peer_version(self, version: int) -> None:
        """Relist if another instance's version is still unknown here."""
        known = self._newest_known_version()
        if known < version:
            self._shared.log.record(
                CONFIG_BEHIND, version=version, known=known
            )
            self.relist_config()

    def on_leafs_listed(self, listing: Listing, removal: Removal) -> None:
        """Apply a full list of leaf entries."""
        entries = [
            entry
            for stored in listing.objects
            if (entry := self._decode_entry(stored)) is not None
        ]
        now = self._shared.loop.time()
        table = self._shared.leafs
        before = set(table.leaf_by_id)
        for leaf in table.replace(entries, now, removal):
            self._on_leaf_dropped(leaf, "not_listed")
        for entry in entries:
            if entry.leaf_id not in before:
                self._log_entry(entry)

    def on_leaf_changed(self, change: Change, removal: Removal) -> None:
        """Apply a leaf's entry; remove a deleted or invalid one."""
        now = self._shared.loop.time()
        name = change.object.name
        entry = None if change.deleted else self._decode_entry(change.object)
        if entry is None:
            leaf = self._shared.leafs.remove(name, now, removal)
            if leaf is not None:
                self._on_leaf_dropped(leaf, "entry_gone")
            return
        leaf = self._shared.leafs.apply(entry, now)
        if leaf is not None:
            self._on_leaf_dropped(leaf, RESTARTED)
        self._log_entry(entry)

    def expire_absent(self, now: float) -> None:
        """Drop the leafs and zones whose entries did not reappear in time."""
        for leaf in self._shared.leafs.expire(now):
            self._on_leaf_dropped(leaf, "entry_did_not_return")
        if self._absent_zones and now > self._absent_zones_until:
            zones, self._absent_zones = self._absent_zones, frozenset()
            self._set_zones(self._shared.leafs.zones_out - zones)

    def on_zones_listed(self, listing: Listing, removal: Removal) -> None:
        """Set the zones that operators took out of service.

        Those that a restored store lacks stay out until the operator has had
        time to write them again.
        """
        zones = frozenset(item.name for item in listing.objects)
        self._absent_zones = frozenset()
        if removal is Removal.RESTORED:
            self._absent_zones = self._shared.leafs.zones_out - zones
            now = self._shared.loop.time()
            self._absent_zones_until = now + REAPPEARANCE_GRACE_S
        self._set_zones(zones | self._absent_zones)

    def on_zone_changed(self, change: Change, removal: Removal) -> None:
        """Take one zone out of service or return it."""
        zones = self._shared.leafs.zones_out
        name = frozenset((change.object.name,))
        self._absent_zones -= name
        self._set_zones(zones - name if change.deleted else zones | name)

    def on_instances_listed(self, listing: Listing) -> None:
        """Set the list of instances."""
        entries = [
            entry
            for stored in listing.objects
            if (entry := decode_instance(stored.name, stored.spec)) is not None
        ]
        self._shared.set_instances(entries)
        self.on_instances_known()

    def _decode_if_newer(self, stored: StoredObject) -> RoutingConfig | None:
        """Decode a configuration; return None if invalid or not newer."""
        if stored.name != CONFIG_NAME:
            return None
        try:
            config = decode_configuration(stored.spec)
        except UnreadableObject as error:
            self._shared.log.record(CONFIG_REJECTED, reason=error.detail)
            self._log_read(None, stored.revision, "unusable")
            self._read_again_later()
            return None
        self._shared.lacks_version = False
        known = (self._shared.config, self._pending.config)
        if any(c is not None and config.version <= c.version for c in known):
            self._log_read(config.version, stored.revision, "known")
            return None
        return config

    def _log_read(
        self, version: int | None, revision: int, outcome: str
    ) -> None:
        self._shared.log.record(
            CONFIG_READ, version=version, revision=revision, outcome=outcome
        )

    def _read_again_later(self) -> None:
        """List again after a while, and so on until a version can be used."""
        self._shared.lacks_version = True
        if self._reread is None:
            self._reread = self._shared.loop.call_later(
                self._reread_s, self._read_again
            )
            self._reread_s = min(MAX_REREAD_S, 2.0 * self._reread_s)

    def _read_again(self) -> None:
        self._reread = None
        if self._shared.lacks_version:
            self.relist_config()
        else:
            self._reread_s = FIRST_REREAD_S

    def _recheck(self) -> None:
        self._activate_if_ready()
        if self._pending.config is not None:
            self._shared.loop.call_later(RECHECK_INTERVAL_S, self._recheck)

    def _activate_if_ready(self) -> None:
        shared = self._shared
        config = self._pending.take_ready(
            shared.config, shared.selector.warm_share, shared.loop.time()
        )
        if config is not None:
            self._activate(config)

    def _activate(self, config: RoutingConfig) -> None:
        shared = self._shared
        previous = shared.config
        self._pending.config = None
        try:
            shared.activate(config)
        except Exception:
            self._read_again_later()
            raise
        if config.unusable_parts:
            shared.log.record(
                CONFIG_INCOMPLETE,
                version=config.version,
                reasons=config.unusable_parts[:MAX_REASONS],
            )
        shared.log.record(
            CONFIG_APPLIED,
            version=config.version,
            previous=previous.version if previous is not None else None,
            routes=len(config.routes),
            max_age_ms=self._config_age_ms(),
        )

    def _config_age_ms(self) -> float | None:
        """Return the age that the latest change has at most, if known."""
        freshness = self._shared.freshness.by_kind[CONFIG_KIND]
        if freshness.complete_at == float("-inf"):
            return None
        age_s = self._shared.loop.time() - freshness.complete_at
        return round(1000 * age_s, 1)

    def _decode_entry(self, stored: StoredObject) -> LeafEntry | None:
        try:
            return decode_leaf(stored.name, stored.spec)
        except UnreadableObject as error:
            shared = self._shared
            shared.metrics.count("unreadable_objects", LEAF_KIND)
            shared.log.record(
                LEAF_ENTRY_INVALID, leaf=stored.name, why=error.detail
            )
            return None

    def _set_zones(self, zones: frozenset[str]) -> None:
        shared = self._shared
        if zones == shared.leafs.zones_out:
            return
        shared.log.record(ZONES_OUT_CHANGED, zones=sorted(zones))
        config = shared.config
        services = config.service_by_name.values() if config else ()
        cold_s = max(
            [DEFAULT_COLD_S, *(service.cold_s for service in services)]
        )
        shared.leafs.set_zones_out(zones, shared.loop.time(), cold_s)

    def _on_leaf_dropped(self, leaf: Leaf, reason: str) -> None:
        if reason == RESTARTED:
            self._shared.crash_guard.record_down(leaf.leaf_id)
        self._shared.drop_leaf(leaf)
        self._shared.log.record(
            LEAF_REMOVED,
            leaf=leaf.leaf_id,
            service=leaf.entry.service,
            why=reason,
        )

    def _log_entry(self, entry: LeafEntry) -> None:
        self._shared.log.record(
            LEAF_UPDATED,
            leaf=entry.leaf_id,
            service=entry.service,
            zone=entry.zone,
            state="draining" if entry.draining else "ready",
            cold_s=entry.cold_s,
            sequence=entry.sequence,
        )
