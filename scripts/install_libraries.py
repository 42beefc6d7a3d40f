"""Installs the libraries of the gateway, and checks that they can be used.

Usage: ``python3 scripts/install_libraries.py REQUIREMENTS FOLDER``, with the
interpreter that will run the gateway.

Libraries that are there already are kept only if they were installed for the
same requirements, interpreter and kind of machine, and can all be imported.
Otherwise they are installed into a new folder, which takes the place of the
old one once its libraries have been imported.
"""

import compileall
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from importlib.metadata import Distribution
from importlib.metadata import distributions
from pathlib import Path

STAMP = "installed-for.json"
# A build ends within 900 s.
INSTALL_TIMEOUT_S = 720
IMPORT_TIMEOUT_S = 60
MODULE_SUFFIXES = (".py", ".so")


class BuildError(Exception):
    """The libraries are not usable; the text states why."""


def main(arguments: list[str]) -> int:
    """Provide the libraries and return the exit code."""
    if len(arguments) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    requirements, libraries = (Path(argument) for argument in arguments)
    try:
        provide(requirements, libraries)
    except (BuildError, OSError) as error:
        print(f"install_libraries: {error}", file=sys.stderr)
        return 1
    return 0


def provide(requirements: Path, libraries: Path) -> None:
    """Install the libraries unless usable ones are there."""
    purpose = purpose_of(requirements)
    if _is_usable(libraries, purpose):
        return
    new = libraries.with_name(libraries.name + ".new")
    _remove(new)
    new.mkdir(parents=True)
    _install(requirements, new)
    modules = installed_modules(new)
    check_imports(new, modules)
    _compile(new, libraries)
    stamp = json.dumps({"purpose": purpose, "modules": modules}, indent=1)
    (new / STAMP).write_text(stamp + "\n")
    _replace(libraries, new)


def purpose_of(requirements: Path) -> dict[str, str]:
    """Return what libraries are installed for: all on which they depend."""
    return {
        "requirements": hashlib.sha256(requirements.read_bytes()).hexdigest(),
        "interpreter": sys.version,
        "abi": sysconfig.get_config_var("SOABI") or "",
        "machine": platform.machine(),
        "platform": sysconfig.get_platform(),
    }


def installed_modules(libraries: Path) -> list[str]:
    """Return the top-level modules of all libraries in a folder."""
    return sorted(
        {
            module
            for distribution in distributions(path=[str(libraries)])
            for module in _modules_of(distribution)
        }
    )


def check_imports(libraries: Path, modules: list[str]) -> None:
    """Import modules in a process of their own, as the gateway would.

    Raises BuildError, with the last line of the traceback, if one fails.
    """
    program = "".join(f"import {module}\n" for module in modules)
    command = [sys.executable, "-P", "-S", "-B", "-c", program]
    try:
        imported = subprocess.run(
            command,
            env={**os.environ, "PYTHONPATH": str(libraries.resolve())},
            capture_output=True,
            text=True,
            timeout=IMPORT_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        raise BuildError(f"imports took over {IMPORT_TIMEOUT_S} s") from error
    if imported.returncode != 0:
        lines = imported.stderr.splitlines() or ["no output"]
        raise BuildError(
            f"the libraries in {libraries} cannot be imported "
            f"(exit code {imported.returncode}): {lines[-1]}"
        )


def _is_usable(libraries: Path, purpose: dict[str, str]) -> bool:
    try:
        stamp = json.loads((libraries / STAMP).read_text())
        if stamp["purpose"] != purpose:
            return False
        check_imports(libraries, stamp["modules"])
    except FileNotFoundError:
        return False
    except (BuildError, OSError, ValueError, KeyError, TypeError) as error:
        print(f"install_libraries: installing again: {error}", file=sys.stderr)
        return False
    return True


def _install(requirements: Path, folder: Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--no-compile"]
    command += ["--target", str(folder), "-r", str(requirements)]
    try:
        code = subprocess.run(command, timeout=INSTALL_TIMEOUT_S).returncode
    except subprocess.TimeoutExpired as error:
        raise BuildError(f"pip took over {INSTALL_TIMEOUT_S} s") from error
    if code != 0:
        raise BuildError(f"pip failed with exit code {code}")


def _modules_of(distribution: Distribution) -> set[str]:
    modules = set()
    for path in distribution.files or ():
        is_module = len(path.parts) == 1 and path.suffix in MODULE_SUFFIXES
        is_package = len(path.parts) == 2 and path.name == "__init__.py"
        name = path.parts[0].partition(".")[0]
        if (is_module or is_package) and name.isidentifier():
            modules.add(name)
    return modules


def _compile(folder: Path, final_folder: Path) -> None:
    """Compile to bytecode that names the files where they will be."""
    compileall.compile_dir(
        folder,
        quiet=2,
        stripdir=str(folder),
        prependdir=str(final_folder.resolve()),
    )


def _replace(old: Path, new: Path) -> None:
    replaced = old.with_name(old.name + ".old")
    _remove(replaced)
    if old.exists():
        old.rename(replaced)
    new.rename(old)
    _remove(replaced)


def _remove(path: Path) -> None:
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
