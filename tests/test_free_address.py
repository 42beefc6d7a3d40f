"""Addresses for processes of a fleet are never given out twice."""

import subprocess
import sys

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
