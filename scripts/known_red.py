"""Reads KNOWN-RED.txt, the list of tests that fail for a known fault.

``deselect`` prints pytest options that deselect these tests; ``show`` prints
the entries.  An entry's line ``test: ID`` names the test.
"""

import sys
from pathlib import Path

KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def listed_test_ids(text: str) -> list[str]:
    """Return the test ids in the text of KNOWN-RED.txt."""
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_PREFIX)
    ]


def main() -> None:
    """Run the command given as first argument."""
    text = KNOWN_RED_PATH.read_text() if KNOWN_RED_PATH.exists() else ""
    if sys.argv[1] == "show":
        sys.stderr.write(text)
        return
    options = [f"--deselect={test}" for test in listed_test_ids(text)]
    print(" ".join(options))


if __name__ == "__main__":
    main()
