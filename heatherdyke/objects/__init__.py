"""The stand-in platform's object API and what is read of it."""
