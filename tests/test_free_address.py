"""Addresses for processes of a fleet are never given out twice."""

import asyncio
import subprocess
import sys

from heatherdyke.platform_standin.leaf import StandinLeaf
from heatherdyke.standin.fault_proxy_model import RouteConfig
from heatherdyke.standin.fault_proxy_tcp import TcpRoute
from heatherdyke.standin.free_address import FIRST_PORT
from heatherdyke.standin.free_address import LAST_PORT
from heatherdyke.standin.free_address import free_address

DRAWS = 900
PRINT_ADDRESSES = f"""
from heatherdyke.standin.free_address import free_address
for _ in range({DRAWS}):
    print(free_address())
input()
"""


class TestFreeAddress:
    # Guards against: a process of a fleet finds its address in use.
    def test_gives_no_address_twice_before_anyone_listens(self):
        addresses = [free_address() for _ in range(DRAWS)]
        assert len(set(addresses)) == DRAWS

    # Guards against: fleets of two test runs take each other's addresses.
    def test_gives_no_address_to_two_processes(self):
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", PRINT_ADDRESSES],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(4)
        ]
        addresses = [
            process.stdout.readline()
            for process in processes
            for _ in range(DRAWS)
        ]
        for process in processes:
            process.communicate("\n")
        assert len(set(addresses)) == len(processes) * DRAWS


class TestPortsOfStandins:
    # Guards against: a leaf that is back after a crash finds its port in use,
    # as an outgoing connection has taken it meanwhile.
    def test_no_outgoing_connection_gets_them_while_they_are_down(self):
        async def start_both() -> list[int]:
            leaf = StandinLeaf("leaf", "service")
            await leaf.start()
            address = str(leaf.listener.address)
            route = TcpRoute(RouteConfig("r", "127.0.0.1:0", address))
            await route.start()
            await route.stop()
            await leaf.stop()
            return [
                leaf.listener.address.port,
                int(route.address.rpartition(":")[2]),
            ]

        for port in asyncio.run(start_both()):
            assert FIRST_PORT <= port < LAST_PORT
