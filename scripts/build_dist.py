"""Builds the executable zip archive of the product with shiv.

Usage: ``python scripts/build_dist.py dist/heatherdyke``.
"""

import subprocess
import sys
import zipfile
from importlib.metadata import version
from pathlib import Path
from tempfile import TemporaryDirectory

from shiv.bootstrap.environment import Environment
from shiv.builder import create_archive

ROOT = Path(__file__).resolve().parent.parent
INTERPRETER = "/usr/bin/env python3.11"
LAUNCHER = ROOT / "heatherdyke" / "shipped_main.py"
BUILT_AT = "1980-01-01 00:00:00"
# Sources of compiled modules, console scripts, and build tools that
# hdrhistogram requires.
UNUSED_PATTERNS = (
    "**/*.c",
    "**/*.pyx",
    "**/*.pxd",
    "**/*.h",
    "setuptools",
    "_distutils_hack",
    "distutils-precedence.pth",
    "pbr",
    "bin",
)


def build(output: Path) -> None:
    """Write the archive; raises CalledProcessError if pip fails."""
    with TemporaryDirectory() as directory:
        packages = Path(directory)
        _install(packages)
        _prune(packages)
        _archive(packages, output)


def _install(packages: Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--no-compile", "--target", str(packages), str(ROOT)]
    subprocess.run(command, check=True)


def _prune(packages: Path) -> None:
    for pattern in UNUSED_PATTERNS:
        for path in sorted(packages.glob(pattern)):
            _remove(path)


def _remove(path: Path) -> None:
    if path.is_dir():
        for child in path.iterdir():
            _remove(child)
        path.rmdir()
    else:
        path.unlink()


def _archive(packages: Path, output: Path) -> None:
    output.parent.mkdir(parents=True, exist_ok=True)
    environment = Environment(
        built_at=BUILT_AT,
        shiv_version=version("shiv"),
        entry_point="heatherdyke.cli.app:main",
        # Compiling on unpacking would start a pool of processes.
        compile_pyc=False,
    )
    create_archive(
        [packages],
        output,
        INTERPRETER,
        f"{LAUNCHER.stem}:main",
        environment,
    )
    with zipfile.ZipFile(output, "a") as archive:
        archive.write(LAUNCHER, LAUNCHER.name)


if __name__ == "__main__":
    build(Path(sys.argv[1]))
