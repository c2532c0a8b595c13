"""Gathers things by a key, in the order in which they came."""

from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

Thing = TypeVar('Thing')
Key = TypeVar('Key', bound=Hashable)


def gather(
    things: Iterable[Thing],
    key: Callable[[Thing], Key],
) -> dict[Key, list[Thing]]:
    """Return the things of each key.

    >>> gather(['ab', 'c', 'de'], len)
    {2: ['ab', 'de'], 1: ['c']}
    """
    gathered: dict[Key, list[Thing]] = {}
    for thing in things:
        gathered.setdefault(key(thing), []).append(thing)
    return gathered
