"""A caller of the soak whose request crashes the leafs that run it."""

import asyncio
from dataclasses import replace
from random import Random

from crash_load import CRASHING_CALLER
from crash_load import CRASHING_NAME
from crash_load import LATE_ARRIVALS
from crash_load import STABILITY_S
from crash_load import THIRD
from crash_load import crashes
from crash_load import quarantined_ids
from gateway_fleet import Gateway
from gateway_fleet import send_request
from soak_client import WAIT_S
from soak_client import SentRequest

from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.standin.fault_proxy_tcp import TcpRoute

# Share of the runs with such a caller.
SHARE = 0.5
INTERVAL_S = (0.1, 0.4)
# As long as other faults last: some services have two leafs only.
DOWN_S = 0.7
# How often each instance gets the request after all faults have ended.
REPETITIONS = 3


class ProxiedLeaf(StandinLeaf):
    """A leaf whose proxy refuses connections while it is down."""

    def __init__(
        self, leaf_id: str, service: str, zone: str, sequence: int = 1
    ) -> None:
        super().__init__(
            leaf_id,
            service,
            zone=zone,
            sequence=sequence,
            crashes_on=crashes,
            down_s=DOWN_S,
        )
        self.proxied: TcpRoute | None = None
        # Set once another leaf has its address.
        self.is_replaced = False

    async def crash(self, request_id: bytes = b"") -> None:
        """End with the proxy; listen again unless replaced meanwhile."""
        proxied = self.proxied
        await proxied.stop()
        await super().crash(request_id)
        if not self.is_stopped and not self.is_replaced:
            proxied.config = replace(proxied.config, listen=proxied.address)
            await proxied.start()


class CrashingCaller:
    """Sends one request again and again, at any instance."""

    def __init__(self, gateways: list[Gateway], seed: int) -> None:
        self.gateways = gateways
        self.random = Random(f"crashing {seed}")
        self.is_active = self.random.random() < SHARE
        self.prefix = self.random.choice(["/o/", "/u/", "/s/"])
        self.stopping = False
        self.sent: list[SentRequest] = []

    async def run(self) -> None:
        """Send until ``stopping`` is set, if this run has such a caller."""
        while self.is_active and not self.stopping:
            await self._send(self.random.choice(self.gateways))
            await asyncio.sleep(self.random.uniform(*INTERVAL_S))

    async def violations(self, leafs: list[StandinLeaf]) -> list[str]:
        """Send to all instances when all faults have ended, and check.

        They are then in touch, so few of these may reach a leaf, unless it
        has not crashed three leafs before.
        """
        if not self.is_active:
            return []
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for gateway in self.gateways * REPETITIONS:
            await self._send(gateway)
        ids = {sent.request_id.encode() for sent in self.sent}
        crash_times = sorted(
            crash.at
            for leaf in leafs
            for crash in leaf.crashes
            if crash.request_id in ids
        )
        if len(crash_times) < THIRD:
            return []
        if crash_times[THIRD - 1] + STABILITY_S > began_at:
            return []
        arrivals = sum(
            received.at > began_at and received.request_id in ids
            for leaf in leafs
            for received in leaf.received_requests
        )
        if arrivals <= LATE_ARRIVALS:
            return []
        return [f"{self.prefix}{CRASHING_NAME} reached {arrivals} more leafs"]

    async def _send(self, gateway: Gateway) -> None:
        loop = asyncio.get_running_loop()
        kind = self.prefix[1]
        request_id = f"{kind}{CRASHING_NAME}{len(self.sent)}"
        sent = SentRequest(request_id, gateway.name, loop.time())
        self.sent.append(sent)
        method, body = ("POST", b"x") if kind == "u" else ("GET", b"")
        path = f"{self.prefix}{CRASHING_NAME}"
        try:
            sent.answer = await send_request(
                gateway,
                path,
                request_id,
                method,
                body,
                int(WAIT_S * 1000),
                CRASHING_CALLER,
            )
            sent.fully_sent = True
        except (OSError, TimeoutError, ValueError, IndexError):
            # The instance has ended; other checks cover that.
            sent.answer = None
        sent.ended_at = loop.time()


def wrongly_refused(fleet, sent_ids: set[str]) -> list[str]:
    """Return the requests of other clients that were taken for crashing."""
    return [f"{x} was refused" for x in quarantined_ids(fleet) & sent_ids]
