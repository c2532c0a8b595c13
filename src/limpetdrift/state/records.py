"""A table of versioned records that is spread by gossip.

A new record is handed out a number of times that grows with the logarithm of
the number of nodes; what that misses is found by comparing hashes of buckets.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import repeat
from math import ceil, log2
from typing import Generic, Protocol, TypeVar

from xxhash import xxh32_intdigest

from limpetdrift.protocol.codec import encode

BUCKETS = 32
_COPIES_PER_DOUBLING = 3
_COPIES_PER_HEARING = 6


class Named(Protocol):
    """A record with its key."""

    @property
    def name(self) -> str:
        """Return the key of the record."""


Record = TypeVar('Record', bound=Named)


@dataclass(kw_only=True, slots=True)
class _Held(Generic[Record]):
    record: Record
    encoded_bytes: int
    digest: int


class RecordTable(Generic[Record]):
    """Records by name, with what is still to be handed on.

    ``join`` merges two records of one name; it is commutative and idempotent.
    ``hashed`` says whether a record counts in the hashes. ``receivers``
    returns the number of nodes that the records are for; where it is left
    out, each record stands for a node.
    """

    def __init__(
        self,
        *,
        join: Callable[[Record, Record], Record],
        hashed: Callable[[Record], bool],
        receivers: Callable[[], int] | None = None,
    ) -> None:
        self._join = join
        self._hashed = hashed
        self._held: dict[str, _Held[Record]] = {}
        self._receivers = receivers or self._held.__len__
        self._copies: dict[str, int] = {}
        self._buckets = list(repeat(0, BUCKETS))

    @property
    def buckets(self) -> tuple[int, ...]:
        """Return one hash for each bucket of names."""
        return tuple(self._buckets)

    @property
    def digest(self) -> int:
        """Return one hash over all records."""
        return xxh32_intdigest(repr(self._buckets).encode())

    def records(self) -> tuple[Record, ...]:
        """Return all records."""
        return tuple(held.record for held in self._held.values())

    def find(self, name: str) -> Record | None:
        """Return the record of that name."""
        held = self._held.get(name)
        return None if held is None else held.record

    def merge(self, record: Record, *, disseminate: bool = True) -> bool:
        """Take in a record; return whether it changed the table.

        What is not handed out is found by others through the hashes.
        """
        held = self._held.get(record.name)
        merged = record
        if held is not None:
            merged = self._join(held.record, record)
            if merged == held.record:
                self._count_hearing(record)
                return False
        self._store(merged)
        if disseminate:
            self._copies[record.name] = 0
        return True

    def drop(self, name: str) -> None:
        """Remove a record without a trace."""
        held = self._held.pop(name, None)
        self._copies.pop(name, None)
        if held is not None:
            self._buckets[bucket_of(name)] ^= held.digest

    def redisseminate(self, names: Iterable[str]) -> None:
        """Hand these records out anew."""
        for name in names:
            self._copies[name] = 0

    def next_for_gossip(self, limit_bytes: int) -> tuple[Record, ...]:
        """Return the records handed out least often, as many as fit."""
        if not self._copies:
            return ()
        taken: list[Record] = []
        for name in sorted(self._copies, key=self._copies.__getitem__):
            held = self._held[name]
            limit_bytes -= held.encoded_bytes
            if limit_bytes < 0:
                break
            taken.append(held.record)
            self._count_copies(name, 1)
        return tuple(taken)

    def differing(
        self,
        buckets: tuple[int, ...],
        limit_bytes: int,
    ) -> tuple[tuple[int, ...], tuple[Record, ...]]:
        """Return whole buckets that hash differently, and their records.

        At least one is returned where any differs.
        """
        named: list[int] = []
        chosen: list[Record] = []
        for index, digest in enumerate(buckets):
            if digest == self._buckets[index]:
                continue
            inside = self.in_bucket(index)
            limit_bytes -= sum(held.encoded_bytes for held in inside)
            if named and limit_bytes < 0:
                break
            named.append(index)
            chosen.extend(held.record for held in inside)
        return tuple(named), tuple(chosen)

    def in_bucket(self, index: int) -> list[_Held[Record]]:
        """Return what is held in one bucket."""
        return [
            held
            for name, held in self._held.items()
            if bucket_of(name) == index
        ]

    def _store(self, record: Record) -> None:
        self.drop(record.name)
        encoded = encode(record)
        digest = xxh32_intdigest(encoded) if self._hashed(record) else 0
        self._held[record.name] = _Held(
            record=record,
            encoded_bytes=len(encoded),
            digest=digest,
        )
        self._buckets[bucket_of(record.name)] ^= digest

    def _count_hearing(self, given: Record) -> None:
        """Hand out less often what others hand out as well."""
        name = given.name
        if name in self._copies and self._held[name].record == given:
            self._count_copies(name, _COPIES_PER_HEARING)

    def _count_copies(self, name: str, copies: int) -> None:
        most = _COPIES_PER_DOUBLING * ceil(log2(self._receivers() + 2))
        self._copies[name] += copies
        if self._copies[name] >= most:
            self._copies.pop(name)


def bucket_of(name: str) -> int:
    """Return the bucket that a name belongs to."""
    return xxh32_intdigest(name.encode()) % BUCKETS
