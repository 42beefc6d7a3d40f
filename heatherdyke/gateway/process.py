"""One gateway process: listens, follows the store, stops gracefully."""

import asyncio
import signal
from pathlib import Path
from random import Random
from time import CLOCK_BOOTTIME
from time import clock_gettime

from heatherdyke import __version__
from heatherdyke.errors import SettingsError
from heatherdyke.gateway.beliefs import Beliefs
from heatherdyke.gateway.client_connection import ClientConnection
from heatherdyke.gateway.clients import Clients
from heatherdyke.gateway.core import Core
from heatherdyke.gateway.decision_log import DecisionLog
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.events import PAUSED
from heatherdyke.gateway.events import READY
from heatherdyke.gateway.events import REJOINED
from heatherdyke.gateway.events import RELOADED
from heatherdyke.gateway.events import SETTINGS_REJECTED
from heatherdyke.gateway.events import STARTED
from heatherdyke.gateway.events import STOPPED
from heatherdyke.gateway.events import STOPPING
from heatherdyke.gateway.events import TURNED_AWAY
from heatherdyke.gateway.feed import Feed
from heatherdyke.gateway.pause import PauseDetector
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.roster import Roster
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.side_api import SideApi
from heatherdyke.net.address import Address
from heatherdyke.observe.prometheus_text import render_metrics
from heatherdyke.platform.configuration import KIND as CONFIG_KIND
from heatherdyke.platform.discovery import LEAF_KIND
from heatherdyke.platform.discovery import ZONE_OUT_KIND
from heatherdyke.platform.settings import load_settings

TICK_S = 0.25
BACKLOG = 512
# The balancer needs two missed checks, a second apart, to send no more.
UNROUTED_AFTER_S = 2.2
# Before the platform kills the process, what still runs is given up.
KILL_MARGIN_S = 0.6
STOP_POLL_S = 0.05
# The settings file may change without a signal.
RELOAD_EVERY_S = 2.0


class GatewayProcess:
    """The parts of one process and its life from start to stop."""

    __slots__ = (
        "_path",
        "_core",
        "_beliefs",
        "_dispatcher",
        "_clients",
        "_config_feed",
        "_leaf_feed",
        "_zone_feed",
        "_roster",
        "_peer_api",
        "_metrics_port",
        "_stopping",
        "_pause",
        "_started_at",
        "_ready_logged",
        "_turned_away_at",
        "_reload_at",
    )

    def __init__(self, path: Path, core: Core, metrics_port: int) -> None:
        self._path = path
        self._core = core
        self._beliefs = Beliefs(core)
        beliefs = self._beliefs
        self._config_feed = Feed(
            CONFIG_KIND,
            core,
            beliefs.config_listed,
            beliefs.config_changed,
            in_batches=False,
        )
        beliefs.refresh_config = self._config_feed.refresh
        self._leaf_feed = Feed(
            LEAF_KIND,
            core,
            beliefs.leafs_listed,
            beliefs.leaf_changed,
            first_may_be_old=True,
        )
        self._zone_feed = Feed(
            ZONE_OUT_KIND,
            core,
            beliefs.zones_listed,
            beliefs.zone_changed,
            first_may_be_old=True,
        )
        self._roster = Roster(core, beliefs)
        self._dispatcher = Dispatcher(core, self._config_feed, self._leaf_feed)
        self._clients = Clients(core, self._dispatcher)
        self._peer_api = PeerApi(core, beliefs.hear_version)
        self._metrics_port = metrics_port
        self._stopping = asyncio.Event()
        self._pause = PauseDetector(TICK_S)
        self._started_at = core.loop.time()
        self._ready_logged = False
        self._turned_away_at: float | None = None
        self._reload_at = self._started_at + RELOAD_EVERY_S

    @classmethod
    def from_settings(
        cls,
        path: Path,
        settings: GatewaySettings,
        loop: asyncio.AbstractEventLoop,
        metrics_port: int,
    ) -> "GatewayProcess":
        """Build a process on the loop; ``path`` is read again on reload."""
        log = DecisionLog(loop.time)
        core = Core(settings, loop, log, Random())
        return cls(path, core, metrics_port)

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be served."""
        core = self._core
        known = core.config is not None and self._leaf_feed.listed.is_set()
        cut_off = core.isolation.should_turn_away(core.loop.time())
        return known and not cut_off and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until told to stop, then finish what runs."""
        core = self._core
        loop = core.loop
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = core.settings
        server = await self._listen(settings.client_address, self._clients)
        health = SideApi.for_health(loop.time, lambda: self.is_ready)
        await self._listen(settings.health_address, health)
        peer_address = Address(settings.ip, settings.peer_ports[0])
        await self._listen(peer_address, self._peer_api)
        if self._metrics_port:
            address = Address(settings.ip, self._metrics_port)
            metrics = SideApi.for_metrics(loop.time, self._render_metrics)
            await self._listen(address, metrics)
        core.log.record(
            STARTED,
            address=str(settings.client_address),
            zone=settings.zone,
            version=__version__,
        )
        work = (
            self._config_feed,
            self._leaf_feed,
            self._zone_feed,
            self._roster,
        )
        tasks = [loop.create_task(part.run()) for part in work]
        tasks.append(loop.create_task(self._serve_held()))
        tasks.append(loop.create_task(self._tick()))
        await self._stopping.wait()
        await self._drain(server)
        for task in tasks:
            task.cancel()

    async def _listen(
        self, address: Address, owner: Clients | PeerApi | SideApi
    ) -> asyncio.Server:
        return await self._core.loop.create_server(
            lambda: ClientConnection(owner),
            address.host,
            address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    async def _serve_held(self) -> None:
        """Serve what came before the first lists, once they are there."""
        await self._config_feed.listed.wait()
        await self._leaf_feed.listed.wait()
        for exchange in self._dispatcher.take_held():
            self._clients.handle(exchange)

    async def _tick(self) -> None:
        core = self._core
        while True:
            await asyncio.sleep(TICK_S)
            now = core.loop.time()
            paused_s = self._pause.tick(clock_gettime(CLOCK_BOOTTIME))
            if paused_s:
                self._resume(paused_s)
            core.pools.maintain(now)
            core.peers.pools.maintain(now)
            self._clients.maintain(now)
            self._beliefs.expire_leafs(now)
            self._note_isolation(now)
            if now >= self._reload_at:
                self._reload_at = now + RELOAD_EVERY_S
                self._reload()
            if not self._ready_logged and self.is_ready:
                self._log_ready(now)

    def _resume(self, paused_s: float) -> None:
        """Read everything again after the process stood still."""
        self._core.log.record(PAUSED, paused_s=round(paused_s, 3))
        for feed in (self._config_feed, self._leaf_feed, self._zone_feed):
            feed.refresh()

    def _note_isolation(self, now: float) -> None:
        """Log when this instance begins or ends to turn clients away."""
        isolation = self._core.isolation
        turned_away_at = self._turned_away_at
        if isolation.should_turn_away(now) == (turned_away_at is not None):
            return
        if turned_away_at is None:
            self._turned_away_at = now
            self._core.log.record(
                TURNED_AWAY,
                failures=isolation.failures,
                silent_s=round(now - isolation.heard_at, 3),
                refused_share=round(isolation.refused_share, 2),
            )
            return
        self._turned_away_at = None
        away_s = round(now - turned_away_at, 3)
        self._core.log.record(REJOINED, turned_away_s=away_s)

    def _log_ready(self, now: float) -> None:
        self._ready_logged = True
        self._core.log.record(
            READY,
            config_version=self._core.config.version,
            leafs=len(self._core.leafs.leaf_by_id),
            after_s=round(now - self._started_at, 3),
        )

    def _reload(self) -> None:
        """Read the settings file again; keep the last good settings."""
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            self._core.log.record(SETTINGS_REJECTED, reason=str(error))
            return
        if settings != self._core.settings:
            changed = settings.changed_fields(self._core.settings)
            self._core.apply_settings(settings)
            self._core.log.record(RELOADED, changed=changed)

    async def _drain(self, server: asyncio.Server) -> None:
        """Answer what comes until nothing comes any more, then return."""
        core = self._core
        began_at = core.loop.time()
        core.log.record(
            STOPPING,
            open_connections=self._clients.open_count,
            running=self._clients.running_count,
        )
        self._clients.stopping = True
        self._peer_api.stopping = True
        last_at = began_at + core.settings.bounds.shutdown_s - KILL_MARGIN_S
        unrouted_at = began_at + UNROUTED_AFTER_S
        while core.loop.time() < last_at:
            await asyncio.sleep(STOP_POLL_S)
            if core.loop.time() < unrouted_at:
                continue
            self._clients.close_idle()
            running = self._peer_api.running_count
            if self._clients.open_count == 0 and running == 0:
                break
        server.close()
        core.log.record(
            STOPPED,
            unfinished=self._clients.running_count,
            after_s=round(core.loop.time() - began_at, 3),
        )

    def _render_metrics(self) -> str:
        settings = self._core.settings
        page = self._core.metrics.read(settings.name, settings.zone, "")
        return render_metrics(page)
