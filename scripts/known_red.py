"""Reads KNOWN-RED.txt: tests that fail for a known fault.

``deselect`` prints the options by which pytest passes over just these;
``show`` prints the entries.  An entry's line ``test: ID`` names the test.
"""

import sys
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MARK = "test: "


def known_tests(text: str) -> list[str]:
    """Return the ids of the tests that the page lists."""
    return [
        line.removeprefix(MARK).strip()
        for line in text.splitlines()
        if line.startswith(MARK)
    ]


def main() -> None:
    """Print what the first argument asks for."""
    text = PAGE.read_text() if PAGE.exists() else ""
    if sys.argv[1] == "show":
        sys.stderr.write(text)
        return
    options = [f"--deselect={test}" for test in known_tests(text)]
    print(" ".join(options))


if __name__ == "__main__":
    main()
