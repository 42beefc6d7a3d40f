"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to interchangeable implementations.

    ``subject`` describes the registered items in error messages.
    """

    __slots__ = ("subject", "by_name")

    def __init__(self, subject: str) -> None:
        self.subject = subject
        self.by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target as ``name``."""

        def add(target: T) -> T:
            if name in self.by_name:
                raise ValueError(
                    f"{self.subject} {name!r} is already registered"
                )
            self.by_name[name] = target
            return target

        return add

    def find(self, name: str) -> T:
        """Return the target registered as ``name``.

        Raises KeyError, which lists the known names, if there is none.
        """
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise KeyError(f"no {self.subject} {name!r}: use one of {known}")
        return self.by_name[name]
