"""The gateway process: listeners, watches of the store, graceful shutdown."""

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import process_time
from typing import Any

from heatherdyke import __version__
from heatherdyke.errors import SettingsError
from heatherdyke.gateway.client_api import ClientApi
from heatherdyke.gateway.dispatch import Dispatcher
from heatherdyke.gateway.drain import Drain
from heatherdyke.gateway.event_log import EventLog
from heatherdyke.gateway.events import GATEWAY_READY
from heatherdyke.gateway.events import GATEWAY_STARTED
from heatherdyke.gateway.events import LOOP_STALLED
from heatherdyke.gateway.events import PROCESS_PAUSED
from heatherdyke.gateway.events import SETTINGS_REJECTED
from heatherdyke.gateway.events import SETTINGS_RELOADED
from heatherdyke.gateway.events import STORE_RESTORED
from heatherdyke.gateway.events import UNEXPECTED_ERROR
from heatherdyke.gateway.freshness_checks import FreshnessChecks
from heatherdyke.gateway.instance_registry import InstanceRegistry
from heatherdyke.gateway.link_monitor import LinkMonitor
from heatherdyke.gateway.listeners import CLIENTS
from heatherdyke.gateway.listeners import Listeners
from heatherdyke.gateway.mechanisms import Mechanism
from heatherdyke.gateway.pause_detector import PauseDetector
from heatherdyke.gateway.peer_api import PeerApi
from heatherdyke.gateway.process_memory import CURRENT_FIELD
from heatherdyke.gateway.process_memory import PEAK_FIELD
from heatherdyke.gateway.process_memory import read_memory_bytes
from heatherdyke.gateway.quarantine_learning import QuarantineLearning
from heatherdyke.gateway.quarantine_store import QuarantineStore
from heatherdyke.gateway.quarantine_sync import QuarantineSync
from heatherdyke.gateway.settings import GatewaySettings
from heatherdyke.gateway.shared_state import SharedState
from heatherdyke.gateway.signal_calls import call_on_signal
from heatherdyke.gateway.stall_detector import StallDetector
from heatherdyke.gateway.standstill import TICK_INTERVAL_S
from heatherdyke.gateway.state_updater import StateUpdater
from heatherdyke.gateway.status_api import StatusApi
from heatherdyke.gateway.store_watcher import StoreWatcher
from heatherdyke.gateway.zone_probes import ZoneProbes
from heatherdyke.net.address import Address
from heatherdyke.observe.prometheus_lines import render_gauges
from heatherdyke.platform.configuration import KIND as CONFIG_KIND
from heatherdyke.platform.discovery import LEAF_KIND
from heatherdyke.platform.discovery import ZONE_OUT_KIND
from heatherdyke.platform.settings import load_settings

# The settings file may change without a SIGHUP.
RELOAD_INTERVAL_S = 2.0
# A reload follows a SIGHUP after this time, and any that come meanwhile.
RELOAD_DELAY_S = 0.05
TASK_RESTART_DELAY_S = 1.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class GatewayProcess:
    """Builds the process's components; runs them until a stop signal."""

    __slots__ = (
        "_settings_path",
        "_shared",
        "_state_updater",
        "_dispatcher",
        "_client_api",
        "_config_watcher",
        "_leaf_watcher",
        "_zone_watcher",
        "_freshness_checks",
        "_instance_registry",
        "_quarantine_store",
        "_peer_api",
        "_health_api",
        "_metrics_api",
        "_managers",
        "_metrics_port",
        "_listeners",
        "_stopping",
        "_stop_signal",
        "_pause_detector",
        "_stall_detector",
        "_started_at",
        "_ready_logged",
        "_link_monitor",
        "_reload_at",
    )

    def __init__(
        self, settings_path: Path, shared: SharedState, metrics_port: int
    ) -> None:
        self._settings_path = settings_path
        self._shared = shared
        self._state_updater = StateUpdater(shared)
        state_updater = self._state_updater
        self._config_watcher = StoreWatcher(
            CONFIG_KIND,
            shared,
            state_updater.on_config_listed,
            state_updater.on_config_changed,
            batch_changes=False,
            first_may_be_stale=False,
        )
        state_updater.relist_config = self._config_watcher.relist
        self._leaf_watcher = StoreWatcher(
            LEAF_KIND,
            shared,
            state_updater.on_leafs_listed,
            state_updater.on_leaf_changed,
        )
        self._zone_watcher = StoreWatcher(
            ZONE_OUT_KIND,
            shared,
            state_updater.on_zones_listed,
            state_updater.on_zone_changed,
            first_may_be_stale=False,
        )
        self._freshness_checks = FreshnessChecks(
            shared,
            {
                watcher.kind: watcher
                for watcher in (
                    self._config_watcher,
                    self._leaf_watcher,
                    self._zone_watcher,
                )
            },
        )
        shared.store_era.on_risen = self._on_store_restored
        self._instance_registry = InstanceRegistry(shared, state_updater)
        self._dispatcher = Dispatcher(
            shared,
            self._config_watcher,
            self._leaf_watcher,
            self._freshness_checks.started,
        )
        self._client_api = ClientApi(shared, self._dispatcher)
        quarantine_sync = QuarantineSync(shared)
        self._quarantine_store = QuarantineStore(shared, quarantine_sync)
        learning = QuarantineLearning(shared, quarantine_sync)
        quarantine_sync.on_decided = self._instance_registry.list_soon

        def on_instances_known() -> None:
            quarantine_sync.tell_new_instances()
            quarantine_sync.check_listed()
            learning.ask_at_start()

        state_updater.on_instances_known = on_instances_known
        self._quarantine_store.on_unavailable = learning.ask_without_store
        zone_probes = ZoneProbes(shared)
        self._peer_api = PeerApi(
            shared,
            state_updater.on_peer_config_version,
            quarantine_sync.handle,
            zone_probes.handle,
            self._freshness_checks.answer,
        )
        self._client_api.share_limit(self._peer_api)
        self._health_api = StatusApi.for_health(shared, lambda: self.is_ready)
        self._metrics_api = StatusApi.for_metrics(shared, self._render_metrics)
        self._managers = (
            self._client_api,
            self._peer_api,
            self._health_api,
            self._metrics_api,
        )
        self._metrics_port = metrics_port
        self._listeners = Listeners(shared.loop, shared.log)
        self._stopping = asyncio.Event()
        self._stop_signal = ""
        self._pause_detector = PauseDetector(TICK_INTERVAL_S)
        self._stall_detector = StallDetector(TICK_INTERVAL_S)
        self._started_at = shared.loop.time()
        self._ready_logged = False
        self._link_monitor = LinkMonitor(shared, zone_probes)
        self._reload_at = self._started_at + RELOAD_INTERVAL_S

    @classmethod
    def from_settings(
        cls,
        settings_path: Path,
        settings: GatewaySettings,
        loop: asyncio.AbstractEventLoop,
        metrics_port: int,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> "GatewayProcess":
        """Build a process on the loop; a reload reads the file again.

        With a ``metrics_port`` of 0 no metrics are served.
        """
        log = EventLog(loop.time)
        shared = SharedState(settings, loop, log, Random(), disabled)
        return cls(settings_path, shared, metrics_port)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests."""
        shared = self._shared
        loaded = (
            shared.config is not None
            and self._freshness_checks.started.is_set()
        )
        accepts = (
            self._listeners.is_open(CLIENTS) and not self._stopping.is_set()
        )
        return loaded and accepts and not shared.is_isolated

    async def run(self) -> None:
        """Serve until a stop signal, then drain and close everything."""
        shared = self._shared
        loop = shared.loop
        loop.set_exception_handler(self._on_unhandled)
        for number in STOP_SIGNALS:
            call_on_signal(loop, number, partial(self._stop, number))
        call_on_signal(loop, signal.SIGHUP, self._request_reload)
        await self._open_listeners()
        background = (
            self._config_watcher,
            self._leaf_watcher,
            self._zone_watcher,
            self._instance_registry,
            self._quarantine_store,
            self._freshness_checks,
        )
        runs = [runner.run for runner in background]
        runs += [self._serve_held, self._run_maintenance]
        tasks = [loop.create_task(self._keep_running(run)) for run in runs]
        await self._stopping.wait()
        # What is unsaved is written at once.
        self._quarantine_store.wake()
        drain = Drain(
            shared,
            self._client_api,
            self._peer_api,
            self._quarantine_store.has_unsaved,
        )
        await drain.run(self._listeners, self._stop_signal)
        self._listeners.close_all()
        for manager in self._managers:
            manager.close()
        for task in tasks:
            task.cancel()
        for runner in background:
            runner.close()

    def _stop(self, number: signal.Signals) -> None:
        """Begin to drain; further stop signals change nothing."""
        if not self._stopping.is_set():
            self._stop_signal = number.name
            self._stopping.set()

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task; start it again after an exception."""
        while True:
            try:
                return await run()
            except Exception as error:
                self._shared.metrics.count("unexpected_errors", "task")
                self._shared.log.record(
                    UNEXPECTED_ERROR, where=run.__qualname__, error=repr(error)
                )
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _open_listeners(self) -> None:
        """Open the listeners; those whose address is in use open later."""
        settings = self._shared.settings
        listeners = self._listeners
        await listeners.open(
            CLIENTS,
            [settings.client_address],
            self._client_api,
            self._log_started,
        )
        await listeners.open(
            "health", [settings.health_address], self._health_api
        )
        first_port, last_port = settings.peer_ports
        self._instance_registry.address = None
        await listeners.open(
            "instances",
            [
                Address(settings.ip, port)
                for port in range(first_port, last_port + 1)
            ],
            self._peer_api,
            self._instance_registry.set_address,
        )
        if self._metrics_port:
            address = Address(settings.ip, self._metrics_port)
            await listeners.open("metrics", [address], self._metrics_api)

    def _log_started(self, address: Address) -> None:
        self._shared.log.record(
            GATEWAY_STARTED,
            address=str(address),
            zone=self._shared.settings.zone,
            version=__version__,
        )

    async def _serve_held(self) -> None:
        """Serve the held requests once the first lists are complete."""
        await self._freshness_checks.started.wait()
        for exchange in self._dispatcher.release_held():
            self._client_api.handle(exchange)

    async def _run_maintenance(self) -> None:
        shared = self._shared
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = shared.loop.time()
            self._report_stall(now)
            paused_s = self._pause_detector.tick(clock_gettime(CLOCK_BOOTTIME))
            if paused_s:
                self._reload_state(paused_s)
            shared.pools.maintain(now)
            shared.peers.pools.maintain(now)
            shared.selector.check_unreachable_zones()
            for manager in self._managers:
                manager.maintain(now)
            self._state_updater.expire_absent(now)
            self._link_monitor.update(now)
            if now >= self._reload_at:
                self._reload_settings()
            if not self._ready_logged and self.is_ready:
                self._log_ready(now)

    def _report_stall(self, now: float) -> None:
        stall = self._stall_detector.tick(now, process_time())
        if stall is None:
            return
        shared = self._shared
        shared.metrics.count("event_loop_stalls", "")
        shared.log.record(
            LOOP_STALLED,
            late_s=round(stall.late_s, 3),
            cpu_s=round(stall.cpu_s, 3),
        )

    def _reload_state(self, paused_s: float) -> None:
        """Relist configuration, leafs and zones after the process paused."""
        self._shared.log.record(PROCESS_PAUSED, paused_s=round(paused_s, 3))
        self._shared.freshness.forget_ages()
        for watcher in (
            self._config_watcher,
            self._leaf_watcher,
            self._zone_watcher,
        ):
            watcher.relist()
        self._quarantine_store.wake()

    def _on_store_restored(self, era: int, previous: int) -> None:
        """List everything again; what was known counts no longer.

        Runs within a read of the store, which then ends with HistoryGone.
        """
        self._shared.log.record(STORE_RESTORED, era=era, previous=previous)
        self._shared.freshness.restart()
        for watcher in (
            self._config_watcher,
            self._leaf_watcher,
            self._zone_watcher,
        ):
            watcher.restart()
        self._instance_registry.list_soon()
        self._quarantine_store.wake()

    def _log_ready(self, now: float) -> None:
        self._ready_logged = True
        self._shared.log.record(
            GATEWAY_READY,
            config_version=self._shared.config.version,
            leafs=len(self._shared.leafs.leaf_by_id),
            after_s=round(now - self._started_at, 3),
        )

    def _request_reload(self) -> None:
        """Reload soon, once for all signals that arrive until then."""
        now = self._shared.loop.time()
        soon = now + RELOAD_DELAY_S
        if self._reload_at > soon:
            self._reload_at = soon
            self._shared.loop.call_at(soon, self._reload_settings)

    def _reload_settings(self) -> None:
        """Read the settings file again; an invalid one changes nothing."""
        self._reload_at = self._shared.loop.time() + RELOAD_INTERVAL_S
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            self._shared.log.record(SETTINGS_REJECTED, reason=str(error))
            return
        if settings != self._shared.settings:
            changed = settings.changed_fields(self._shared.settings)
            self._shared.apply_settings(settings)
            self._shared.log.record(SETTINGS_RELOADED, changed=changed)

    def _render_metrics(self) -> str:
        settings = self._shared.settings
        gauges = {
            "memory_bytes": read_memory_bytes(CURRENT_FIELD),
            "memory_peak_bytes": read_memory_bytes(PEAK_FIELD),
            "memory_limit_bytes": settings.memory_bytes,
            "message_bytes": self._shared.memory.used_bytes,
            "message_limit_bytes": self._shared.memory.limit_bytes,
            "uptime_seconds": self._shared.loop.time() - self._started_at,
            "routing_version": self._shared.config_version or 0,
            "routing_unusable": int(self._shared.lacks_version),
            "store_era": self._shared.store_era.number or 0,
        }
        now = self._shared.loop.time()
        for kind, freshness in self._shared.freshness.by_kind.items():
            gauges[f"applied_revision_{kind}"] = freshness.applied
            gauges[f"state_age_seconds_{kind}"] = now - freshness.complete_at
        return self._shared.metrics.render() + render_gauges(gauges)

    def _on_unhandled(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception that a callback of the event loop raised."""
        self._shared.metrics.count("unexpected_errors", "callback")
        self._shared.log.record(
            UNEXPECTED_ERROR,
            where=context["message"],
            error=repr(context.get("exception")),
        )
