"""Entry point of ``python -m heatherdyke`` and of the shipped file."""

from heatherdyke.cli.app import main

if __name__ == "__main__":
    main()
