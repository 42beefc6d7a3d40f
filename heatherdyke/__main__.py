"""Entry point of ``python -m heatherdyke`` and of the executable archive."""

from heatherdyke.cli.app import main

if __name__ == "__main__":
    main()
