"""Tests of shutdown, reload and invalid input, with a real process."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from gateway_entries import SETTINGS
from gateway_fleet import HOST
from gateway_fleet import send_request
from gateway_fleet import wait_for_first_code
from gateway_scenarios import ready_gateway
from gateway_scenarios import run
from gateway_scenarios import set_up_forwarding
from gateway_scenarios import until

from heatherdyke.gateway.isolation import BALANCER_REACTION_S
from heatherdyke.gateway.process import GatewayProcess


class TestShutdown:
    def test_a_running_request_is_answered_before_the_process_exits(
        self, tmp_path
    ):
        async def scenario(fleet):
            (leaf,) = await set_up_forwarding(fleet, 1)
            leaf.processing_s = 1.0
            gateway = await ready_gateway(fleet)
            pending_answer = asyncio.create_task(
                send_request(gateway, "/o/x", "r1")
            )
            await until(lambda: leaf.runs == [b"r1"])
            gateway.terminate()
            assert (await pending_answer).status == 200
            assert not await gateway.is_ready()
            assert (await send_request(gateway, "/o/x", "r2")).status == 200
            assert await gateway.process.wait() == 0
            assert "gateway_stopped" in fleet.read_log(gateway)

        run(scenario, tmp_path)

    def test_a_new_connection_has_time_to_send_a_request(self, tmp_path):
        """It was closed within 50 ms while the process drained."""

        async def scenario(fleet):
            (leaf,) = await set_up_forwarding(fleet, 1)
            leaf.processing_s = 60.0
            gateway = await ready_gateway(fleet)
            gateway.terminate()
            await asyncio.sleep(1.0)
            # The process does not end before this request.
            running = asyncio.create_task(send_request(gateway, "/o/x", "r1"))
            await asyncio.sleep(BALANCER_REACTION_S - 0.9)
            host, port = gateway.front.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(0.15)
            assert not running.done()
            writer.write(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 404")
            writer.close()
            await running

        run(scenario, tmp_path)

    def test_a_pipelined_request_is_answered(self, tmp_path):
        """It had been read, and its connection closed after the first."""

        async def scenario(fleet):
            (leaf,) = await set_up_forwarding(fleet, 1)
            leaf.processing_s = 0.3
            gateway = await ready_gateway(fleet)
            host, port = gateway.front.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(3):
                head = f"GET /o/x HTTP/1.1\r\nHost: {HOST}\r\n"
                writer.write(f"{head}X-Request-Id: r{number}\r\n\r\n".encode())
            await until(lambda: leaf.runs == [b"r0"])
            gateway.terminate()
            data = await reader.read()
            writer.close()
            assert data.count(b"HTTP/1.1 200") == 3
            assert data.count(b"Connection: close") == 1
            assert leaf.runs == [b"r0", b"r1", b"r2"]

        run(scenario, tmp_path)


class TestBackgroundTask:
    """An exception ended it for good, and with it a watch of the store."""

    def test_runs_again_after_an_exception(self):
        async def main() -> int:
            loop = asyncio.get_running_loop()
            process = GatewayProcess.from_settings(
                Path("settings.toml"), SETTINGS, loop, 0
            )
            runs = 0

            async def run_task() -> None:
                nonlocal runs
                runs += 1
                if runs == 1:
                    raise OverflowError("int too large to convert to float")

            await process._keep_running(run_task)
            return runs

        assert asyncio.run(main()) == 2


class TestInvalidInput:
    def test_malformed_and_oversized_requests_reach_no_leaf(self, tmp_path):
        async def scenario(fleet):
            leafs = await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            head = f"GET /o/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
            long_field = b"X-Long: " + b"x" * 9000 + b"\r\n\r\n"
            large = b"Content-Length: 70000\r\n\r\n" + b"x" * 70000
            both = (
                b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\n"
            )
            assert await raw(gateway, b"\x00\x01 nonsense\r\n\r\n") == 400
            assert await raw(gateway, head + long_field) == 431
            assert await raw(gateway, b"POST" + head[3:] + large) == 413
            assert await raw(gateway, b"POST" + head[3:] + both) == 400
            assert await raw(gateway, b"GET /o/x HTTP/1.1\r\n\r\n") == 400
            assert not any(leaf.received_requests for leaf in leafs)

        async def raw(gateway, data: bytes) -> int:
            host, port = gateway.front.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            async with asyncio.timeout(5):
                line = await reader.readline()
            writer.close()
            return int(line.split()[1])

        run(scenario, tmp_path)

    def test_an_incomplete_request_times_out(self, tmp_path):
        async def scenario(fleet):
            await set_up_forwarding(fleet)
            gateway = await ready_gateway(fleet)
            host, port = gateway.front.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /o/x HT")
            async with asyncio.timeout(4):
                assert b" 408 " in await reader.readline()
            writer.close()

        run(scenario, tmp_path)

    def test_a_reload_signal_does_not_end_a_starting_process(self, tmp_path):
        """By default SIGHUP ends a process that has no handler yet."""

        async def scenario(fleet):
            await set_up_forwarding(fleet)
            gateway = await fleet.add_gateway("a")
            await wait_for_first_code(gateway.process)
            for _ in range(30):
                gateway.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
            await gateway.wait_ready()

        run(scenario, tmp_path)

    def test_an_error_in_the_settings_names_the_path(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text('node-name = "a"\nzone = 7\n')
        finished = subprocess.run(
            [sys.executable, "-m", "heatherdyke.gateway"],
            env={**os.environ, "HEATHERDYKE_BOOT": str(path)},
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert finished.returncode == 2
        assert str(path) in finished.stderr
        assert len(finished.stderr.splitlines()) == 1
