"""Chooses by rendezvous hashing, so that all nodes agree without messages."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest


def choose_by_hash(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest hashes for the key.

    >>> choose_by_hash('list', ['entry-1', 'entry-2'], 2) == choose_by_hash(
    ...     'list', ['entry-2', 'entry-1'], 2
    ... )
    True
    """
    return sorted(
        names,
        key=lambda name: xxh64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )[:count]
