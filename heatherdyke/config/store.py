"""The component that holds the configuration and zones in force."""

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
    """Holds the configuration in force and passes it on to peers."""

    __slots__ = (
        "_settings",
        "_journal",
        "_clock",
        "_state",
        "_document",
        "_callbacks",
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
        self._callbacks: list[Callable[[], None]] = []
        self._sync = ConfigSync(
            settings, platform, journal, clock, self._state, self._apply
        )
        self._api = ConfigApi(
            self._state.delta_since, self.observe, self.status
        )

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        platform: ObjectClient,
        journal: Journal,
        clock: Clock,
    ) -> "ConfigStore":
        """Return a store that has no configuration until it runs."""
        return cls(settings, platform, journal, clock)

    @property
    def document(self) -> ConfigDocument:
        """Return the document in force; the same object until it changes."""
        return self._document

    @property
    def has_config(self) -> bool:
        """Tell whether all sources were asked and one answered since start.

        An instance that serves before that could show an older
        configuration than its predecessor at the same address did.
        """
        return self._sync.has_heard and self._sync.has_asked

    @property
    def is_settled(self) -> bool:
        """Tell whether new work may start on the configuration held.

        It is false after the process stood still, until the platform and
        peers were asked for what was missed meanwhile.
        """
        return self._sync.stalled_s < STALL_S

    def zone_is_out(self, zone: str) -> bool:
        """Tell whether operators have taken the zone out."""
        if not self._settings.is_enabled(Mechanism.ZONE_OUT):
            return False
        return self._state.zone_states.is_out(zone)

    def digest(self) -> ConfigDigest:
        """Return the versions in force, for heartbeats."""
        return self._state.digest

    def status(self) -> ConfigStatus:
        """Return what is in force here, for operators."""
        age = None
        if self._sync.platform_read_at is not None:
            age = self._clock.now() - self._sync.platform_read_at
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

    def set_reader(self, is_reader: Callable[[], bool]) -> None:
        """Let ``is_reader`` tell if this instance watches the platform."""
        self._sync.is_reader = is_reader

    def set_members(self, find_members: Callable[[], list[Member]]) -> None:
        """Let ``find_members`` tell which peers may be asked."""
        self._sync.find_members = find_members

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of document or zones."""
        self._callbacks.append(callback)

    def observe(self, peer_address: str, digest: ConfigDigest) -> None:
        """Note a peer's digest and fetch what it has and this one lacks."""
        self._sync.offer(peer_address, digest)

    def learn_peer(self, address: str, zone: str) -> None:
        """Add a peer that may be asked for configuration."""
        self._sync.peers.learn(address, zone)

    def add_routes(self, apps: Applications) -> None:
        """Serve configuration to peers and the status to operators."""
        self._api.add_routes(apps.internal)

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self._sync.run()

    async def stop(self) -> None:
        """Do nothing: the store keeps nothing that must last."""

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
        for callback in self._callbacks:
            callback()
