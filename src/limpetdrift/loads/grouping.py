"""Groups items by a key."""

from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

Item = TypeVar('Item')
Key = TypeVar('Key', bound=Hashable)


def group_by(
    items: Iterable[Item],
    key: Callable[[Item], Key],
) -> dict[Key, list[Item]]:
    """Return lists of items by key; keys and items keep their order.

    >>> group_by(['ab', 'c', 'de'], len)
    {2: ['ab', 'de'], 1: ['c']}
    """
    groups: dict[Key, list[Item]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return groups
