"""The ``config`` and ``zone`` commands: output and exit codes."""

import asyncio
import json
import threading
from contextlib import contextmanager
from pathlib import Path

import pytest
from typer.testing import CliRunner

from heatherdyke.cli.app import app
from heatherdyke.errors import HeatherdykeError
from heatherdyke.standin.platform import PlatformFaults
from heatherdyke.standin.platform import PlatformStandin

EXAMPLES = Path(__file__).parent.parent / "docs" / "examples"
ROSTER = EXAMPLES / "roster.yaml"
APPLY = ["config", "apply", str(ROSTER), "--team", "roster"]
OUTAGE = PlatformFaults(outage=True)


@contextmanager
def running_platform(faults=PlatformFaults()):
    """Run a stand-in platform in a thread and yield its address."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    standin = PlatformStandin()

    def wait_for(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(10)

    try:
        wait_for(standin.start())
        standin.set_faults(faults)
        yield standin.address
        wait_for(standin.stop())
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def run(arguments, address=""):
    """Run a command and return its exit code and output or error."""
    if address:
        arguments = [*arguments, "--platform", address]
    result = CliRunner().invoke(app, arguments)
    if isinstance(result.exception, HeatherdykeError):
        return result.exception.exit_code, str(result.exception)
    return result.exit_code, result.output


class TestConfigCommands:
    def test_apply_show_diff_and_repeated_edit(self):
        with running_platform() as address:
            code, text = run([*APPLY, "--json"], address)
            accepted = json.loads(text)["acceptance"]
            assert (code, accepted["version"]) == (0, 1)
            code, text = run(APPLY, address)
            assert code == 0 and text.startswith("no change")
            repeated = ["--edit", accepted["edit"]]
            assert run([*APPLY, *repeated], address)[0] == 0
            code, text = run(["config", "show"], address)
            assert "document version 1" in text and "roster" in text
            assert run(["config", "diff", str(ROSTER)], address) == (
                0,
                "no change\n",
            )

    def test_apply_succeeds_if_replies_are_lost(self):
        faults = PlatformFaults(lose_replies=2)
        with running_platform(faults) as address:
            code, text = run([*APPLY, "--json"], address)
            assert (code, json.loads(text)["acceptance"]["version"]) == (0, 1)

    def test_conflict_names_the_other_editor(self, tmp_path):
        other = tmp_path / "other.yaml"
        other.write_text(ROSTER.read_text().replace("800", "900"))
        apply_other = ["config", "apply", str(other), "--team", "roster"]
        with running_platform() as address:
            run([*APPLY, "--editor", "ada"], address)
            code, text = run([*apply_other, "--if-version", "0"], address)
            assert code == 5 and "'ada'" in text

    def test_wait_reports_that_no_instance_is_listed(self):
        with running_platform() as address:
            code, text = run([*APPLY, "--wait", "--wait-s", "0.1"], address)
            assert code == 3 and "lists no instance" in text

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (["config", "apply", str(ROSTER), "--team", "x"], "its own"),
            (["config", "diff", "absent.yaml"], "cannot be read"),
            (["config", "show", "--team", "x"], "has no section"),
            (["zone", "out", "nowhere"], "no leaf is in zone"),
        ],
    )
    def test_invalid_input_changes_nothing(self, arguments, message):
        with running_platform() as address:
            code, text = run(arguments, address)
            assert code == 2 and message in text
            assert run(["config", "show"], address)[1] == (
                "document version 0\n"
            )

    def test_platform_address_is_validated(self):
        code, text = run(["config", "show"], "localhost")
        assert code == 2 and "IP address" in text

    def test_platform_outage_has_exit_code_4(self):
        with running_platform(OUTAGE) as address:
            assert run(["config", "show"], address)[0] == 4


class TestZoneCommands:
    def test_zone_out_and_in(self):
        with running_platform() as address:
            run(APPLY, address)
            code, text = run(
                ["zone", "out", "brescia", "--reason", "works"], address
            )
            assert code == 0 and "brescia is out" in text
            code, text = run(["zone", "in", "brescia", "--json"], address)
            zones = json.loads(text)["zones"]
            assert code == 0 and zones["version"] == 2
            assert zones["zone_by_name"]["brescia"]["state"] == "in"
