"""What the build of deploy/system.toml does with the libraries it finds.

The libraries are small wheels in a folder, so that no network is needed.
"""

import os
import shutil
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
LIBRARIES = ("small", "other")
# The largest time that a build may take.
BUILD_TIMEOUT_S = 900
# Older than all that a test writes.
LONG_AGO_S = 1_000_000_000
BROKEN_SOURCE = 'raise ImportError("made for another machine")\n'


class Checkout:
    """A checkout with the build and two small libraries in place of ours."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.wheels = path / "wheels"
        self.requirements = path / "deploy" / "requirements.txt"
        self.libraries = path / "target" / "deps"
        for folder in (self.wheels, self.requirements.parent):
            folder.mkdir(parents=True)
        (path / "heatherdyke").mkdir()
        shutil.copytree(ROOT / "scripts", path / "scripts")
        for name in LIBRARIES:
            self.write_wheel(name)
        self.require(*LIBRARIES)

    def require(self, *names: str) -> None:
        """Write the requirements; they are older than any libraries."""
        lines = ["--no-index", f"--find-links {self.wheels}", *names]
        self.requirements.write_text("\n".join(lines) + "\n")
        os.utime(self.requirements, (LONG_AGO_S, LONG_AGO_S))

    def write_wheel(self, name: str, source: str = "") -> None:
        info = f"{name}-1.0.dist-info"
        text_by_path = {
            f"{name}.py": source,
            f"{info}/METADATA": (
                f"Metadata-Version: 2.1\nName: {name}\nVersion: 1.0\n"
            ),
            f"{info}/WHEEL": (
                "Wheel-Version: 1.0\nRoot-Is-Purelib: true\n"
                "Tag: py3-none-any\n"
            ),
        }
        record = "".join(f"{path},,\n" for path in text_by_path)
        text_by_path[f"{info}/RECORD"] = record + f"{info}/RECORD,,\n"
        wheel = self.wheels / f"{name}-1.0-py3-none-any.whl"
        with zipfile.ZipFile(wheel, "w") as archive:
            for path, text in text_by_path.items():
                archive.writestr(path, text)

    def build(self) -> subprocess.CompletedProcess:
        """Run the build as the platform does, with this interpreter."""
        folders = [str(Path(sys.executable).parent), os.environ["PATH"]]
        return subprocess.run(
            BUILD,
            shell=True,  # noqa: S602
            cwd=self.path,
            env={
                "PATH": os.pathsep.join(folders),
                "HOME": str(self.path.parent),
                "PIP_CACHE_DIR": str(self.path.parent / "cache"),
            },
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
        )

    def build_successfully(self) -> None:
        built = self.build()
        assert built.returncode == 0, built.stdout + built.stderr

    def import_error(self, *names: str) -> str:
        """Import libraries as a process does; return the error output."""
        program = f"import {', '.join(names or LIBRARIES)}"
        return subprocess.run(
            [sys.executable, "-S", "-c", program],
            cwd=self.path,
            env={"PYTHONPATH": str(self.libraries)},
            capture_output=True,
            text=True,
        ).stderr


@pytest.fixture
def checkout(tmp_path) -> Checkout:
    return Checkout(tmp_path / "checkout")


class TestForeignLibraries:
    # Guards against a build that takes the libraries of another kind of
    # machine, which lie there from before, for its own.
    def test_compiled_modules_of_another_machine_are_replaced(self, checkout):
        checkout.libraries.mkdir(parents=True)
        for name in LIBRARIES:
            module = f"{name}.cpython-39-another-linux-gnu.so"
            (checkout.libraries / module).write_bytes(b"")
        checkout.build_successfully()
        assert checkout.import_error() == ""

    # Guards against trust in a note of an earlier build: the libraries that
    # lie beside it can't be loaded here.
    def test_libraries_that_cannot_be_loaded_are_replaced(self, checkout):
        checkout.build_successfully()
        (checkout.libraries / "other.py").write_text(BROKEN_SOURCE)
        checkout.build_successfully()
        assert checkout.import_error() == ""

    # Guards against libraries of an interpreter or a machine that differs,
    # although they can be imported: what they were compiled for is unknown.
    def test_libraries_without_a_stamp_of_this_machine_are_replaced(
        self, checkout
    ):
        checkout.libraries.mkdir(parents=True)
        for name in LIBRARIES:
            (checkout.libraries / f"{name}.py").write_text("FOREIGN = 1\n")
        checkout.build_successfully()
        assert "FOREIGN" not in (checkout.libraries / "small.py").read_text()


class TestHalfInstalls:
    # Guards against a build that passes because an earlier one, which was
    # killed, had installed some of the libraries.
    def test_missing_libraries_are_installed(self, checkout):
        checkout.libraries.mkdir(parents=True)
        (checkout.libraries / "small.py").write_text("")
        checkout.build_successfully()
        assert checkout.import_error() == ""

    # Guards against a build that fails, or mixes files, because an earlier
    # one was killed before its libraries were in place.
    def test_rests_of_a_killed_build_are_removed(self, checkout):
        rest = checkout.path / "target" / "deps.new"
        rest.mkdir(parents=True)
        (rest / "small.py").write_text(BROKEN_SOURCE)
        checkout.build_successfully()
        assert checkout.import_error() == ""
        assert not rest.exists()

    # Guards against a stamp that outlives some of the libraries.
    def test_libraries_that_were_removed_are_installed_again(self, checkout):
        checkout.build_successfully()
        for path in checkout.libraries.glob("other*"):
            shutil.rmtree(path) if path.is_dir() else path.unlink()
        checkout.build_successfully()
        assert checkout.import_error() == ""

    # Guards against libraries of earlier requirements that stay and are
    # imported although nothing requires them.
    def test_libraries_that_are_not_required_any_more_go(self, checkout):
        checkout.build_successfully()
        checkout.require("small")
        checkout.build_successfully()
        assert checkout.import_error("small") == ""
        assert "No module named 'other'" in checkout.import_error("other")


class TestFailedInstalls:
    # Guards against a failed build that says nothing, or after which the next
    # one takes what is there for complete.
    def test_a_library_that_is_not_available_fails_every_build(self, checkout):
        checkout.require("small", "unavailable")
        checkout.libraries.mkdir(parents=True)
        for _ in range(2):
            built = checkout.build()
            assert built.returncode != 0
            assert "unavailable" in built.stderr
        checkout.write_wheel("unavailable")
        checkout.build_successfully()
        assert checkout.import_error("small", "unavailable") == ""

    # Guards against libraries that pip installs but that this interpreter
    # can't load: the processes would end at their start.
    def test_a_library_that_cannot_be_loaded_fails_every_build(self, checkout):
        checkout.write_wheel("other", BROKEN_SOURCE)
        for _ in range(2):
            built = checkout.build()
            assert built.returncode != 0
            assert "made for another machine" in built.stderr
        checkout.write_wheel("other")
        checkout.build_successfully()
        assert checkout.import_error() == ""


class TestUnchangedInstalls:
    # Guards against a build that installs everything each time, and needs
    # the network for nothing.
    def test_a_good_install_is_kept(self, checkout):
        checkout.build_successfully()
        before = checkout.libraries.stat().st_ino
        shutil.rmtree(checkout.wheels)
        checkout.build_successfully()
        assert checkout.libraries.stat().st_ino == before
        assert checkout.import_error() == ""

    # Guards against files of the build outside of target/, which a checkout
    # for reading alone does not have.
    def test_all_files_of_the_build_are_under_target(self, checkout):
        before = set(checkout.path.iterdir())
        checkout.build_successfully()
        made = set(checkout.path.iterdir()) - before
        assert made == {checkout.path / "target"}

    # Guards against libraries that are compiled anew at each start: the
    # processes cannot write their bytecode.
    def test_libraries_are_compiled_to_bytecode(self, checkout):
        checkout.build_successfully()
        compiled = checkout.libraries.rglob("__pycache__/*.pyc")
        names = {path.name.partition(".")[0] for path in compiled}
        assert names >= set(LIBRARIES)
