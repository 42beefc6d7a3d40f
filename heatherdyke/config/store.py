"""The component that holds the active configuration and zones."""

from collections.abc import Callable

from heatherdyke.clock import Clock
from heatherdyke.config.api import ConfigApi
from heatherdyke.config.api import ConfigStatus
from heatherdyke.config.events import record_outcome
from heatherdyke.config.model import ConfigDocument
from heatherdyke.config.state import ConfigDelta
from heatherdyke.config.state import ConfigDigest
from heatherdyke.config.state import ConfigState
from heatherdyke.config.sync import STALL_S
from heatherdyke.config.sync import ConfigSync
from heatherdyke.mechanisms import Mechanism
from heatherdyke.membership.messages import Member
from heatherdyke.net.http_routes import Applications
from heatherdyke.objects.client import ObjectClient
from heatherdyke.observe.events import OLDER_CONFIG_IGNORED
from heatherdyke.observe.journal import Journal
from heatherdyke.settings import Settings


class ConfigStore:
    """Keeps the active configuration current and serves it to peers."""

    __slots__ = (
        "_settings",
        "_journal",
        "_clock",
        "_state",
        "_document",
        "_subscribers",
        "_sync",
        "_api",
    )

    def __init__(
        self,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._journal = journal
        self._clock = clock
        self._state = ConfigState(
            settings.is_enabled(Mechanism.CONFIG_MONOTONE)
        )
        self._document = ConfigDocument()
        self._subscribers: list[Callable[[], None]] = []
        self._sync = ConfigSync(
            settings, platform, journal, clock, self._state, self._apply
        )
        self._api = ConfigApi(
            self._state.delta_since, self.on_peer_digest, self.status
        )

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
    ) -> "ConfigStore":
        """Return a store, which is empty until it runs."""
        return cls(settings, platform, journal, clock)

    @property
    def document(self) -> ConfigDocument:
        """Return the active document; the same object until it changes."""
        return self._document

    @property
    def has_config(self) -> bool:
        """Tell whether the initial read of the configuration is done.

        That is the case once the platform and a sample of the peers have been
        queried, and the platform has responded or a peer has sent a delta.
        The platform may have no configuration yet.  Serving earlier could
        apply an older configuration than the process that this one replaces.
        """
        return (
            self._sync.any_source_delivered and self._sync.initial_refresh_done
        )

    @property
    def is_up_to_date(self) -> bool:
        """Tell whether new work may start with the active configuration.

        It is false after the process was paused, until the platform and
        peers have been queried for the changes missed during the pause.
        """
        return self._sync.stalled_s < STALL_S

    def zone_is_out(self, zone: str) -> bool:
        """Tell whether operators have taken the zone out of service."""
        if not self._settings.is_enabled(Mechanism.ZONE_OUT):
            return False
        return self._state.zone_states.is_out(zone)

    def digest(self) -> ConfigDigest:
        """Return the active versions, for heartbeats."""
        return self._state.digest

    def status(self) -> ConfigStatus:
        """Return the state of the configuration, for operators."""
        age = None
        if self._sync.platform_responded_at is not None:
            age = self._clock.now() - self._sync.platform_responded_at
        return ConfigStatus(
            instance=self._settings.name,
            zone=self._settings.zone,
            config_version=self._state.version,
            zones_version=self._state.digest.zones_version,
            zones_out=self._state.zone_states.out_zones(),
            version_by_team=self._state.section_versions(),
            unreadable=self._state.unreadable,
            platform_age_s=age,
        )

    def set_reader_predicate(self, is_reader: Callable[[], bool]) -> None:
        """Set the check whether this instance watches the platform."""
        self._sync.is_reader = is_reader

    def set_member_lookup(
        self, find_members: Callable[[], list[Member]]
    ) -> None:
        """Set the function that returns the members, which become peers."""
        self._sync.find_members = find_members

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of the document or the zones."""
        self._subscribers.append(callback)

    def on_peer_digest(self, peer_address: str, digest: ConfigDigest) -> None:
        """Add the peer; fetch its changes if its digest is newer."""
        self._sync.on_peer_digest(peer_address, digest)

    def add_peer(self, address: str, zone: str) -> None:
        """Add a peer that can be queried for configuration."""
        self._sync.peers.add_peer(address, zone)

    def add_routes(self, apps: Applications) -> None:
        """Serve configuration to peers and the status to operators."""
        self._api.add_routes(apps.internal)

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self._sync.run()

    async def stop(self) -> None:
        """Do nothing: the store has no state to persist."""

    def _apply(self, delta: ConfigDelta, source: str) -> None:
        outcome = self._state.merge(delta)
        if outcome.older_ignored:
            self._journal.record(
                OLDER_CONFIG_IGNORED,
                version=delta.version,
                held=self._state.version,
                source=source,
            )
        if not outcome.changed:
            return
        self._document = self._state.document
        record_outcome(self._journal, outcome, self._state.version, source)
        for callback in self._subscribers:
            callback()
