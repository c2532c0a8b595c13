"""A table of versioned records that is disseminated by gossip.

A new record is sent a number of times that grows with the logarithm of the
number of nodes. A node that is missed finds it by comparing bucket hashes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import repeat
from math import ceil, log2
from typing import Generic, Protocol, TypeVar

from xxhash import xxh32_intdigest

from limpetdrift.protocol.codec import encode

# Buckets of names, with a hash each.
BUCKETS = 32
# Copies of a new record that are sent, for each doubling of the receivers.
_COPIES_PER_DOUBLING = 3
# Copies that a duplicate received from another node counts for.
_COPIES_PER_DUPLICATE = 6


class NamedRecord(Protocol):
    """A record with its key."""

    @property
    def name(self) -> str:
        """The key of the record."""


Record = TypeVar('Record', bound=NamedRecord)


@dataclass(kw_only=True, slots=True)
class _StoredRecord(Generic[Record]):
    record: Record
    encoded_bytes: int
    digest: int


class RecordTable(Generic[Record]):
    """Records by name, and how often each new one was sent.

    ``join`` merges two records of one name; it is commutative and idempotent.
    ``hashed`` returns whether a record is included in the hashes.
    ``receivers`` returns the number of nodes that the records are for; by
    default each record stands for a node.
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
        self._stored: dict[str, _StoredRecord[Record]] = {}
        self._receivers = receivers or self._stored.__len__
        self._sent_copies: dict[str, int] = {}
        self._buckets = list(repeat(0, BUCKETS))

    @property
    def buckets(self) -> tuple[int, ...]:
        """One hash for each bucket of names."""
        return tuple(self._buckets)

    @property
    def digest(self) -> int:
        """One hash over all buckets."""
        return xxh32_intdigest(repr(self._buckets).encode())

    def records(self) -> tuple[Record, ...]:
        """Return all records."""
        return tuple(stored.record for stored in self._stored.values())

    def find(self, name: str) -> Record | None:
        """Return the record of a name, or ``None``."""
        stored = self._stored.get(name)
        return None if stored is None else stored.record

    def merge(self, record: Record, *, disseminate: bool = True) -> bool:
        """Merge a record; return whether it changed the table.

        Without ``disseminate`` others find the record by the hashes only.
        """
        stored = self._stored.get(record.name)
        merged = record
        if stored is not None:
            merged = self._join(stored.record, record)
            if merged == stored.record:
                self._count_duplicate(record)
                return False
        self._store(merged)
        if disseminate:
            self._sent_copies[record.name] = 0
        return True

    def drop(self, name: str) -> None:
        """Remove a record without leaving a tombstone."""
        stored = self._stored.pop(name, None)
        self._sent_copies.pop(name, None)
        if stored is not None:
            self._buckets[bucket_of(name)] ^= stored.digest

    def redisseminate(self, names: Iterable[str]) -> None:
        """Disseminate these records again."""
        for name in names:
            self._sent_copies[name] = 0

    def next_for_gossip(self, limit_bytes: int) -> tuple[Record, ...]:
        """Return the records to send, those sent least often first.

        As many as fit in the limit are returned, and are counted as sent.
        """
        if not self._sent_copies:
            return ()
        selected: list[Record] = []
        for name in sorted(
            self._sent_copies, key=self._sent_copies.__getitem__
        ):
            stored = self._stored[name]
            limit_bytes -= stored.encoded_bytes
            if limit_bytes < 0:
                break
            selected.append(stored.record)
            self._count_copies(name, 1)
        return tuple(selected)

    def differing(
        self,
        buckets: tuple[int, ...],
        limit_bytes: int,
    ) -> tuple[tuple[int, ...], tuple[Record, ...]]:
        """Return the buckets whose hashes differ, and their records.

        Buckets are returned whole, as many as fit in the limit, and at least
        one if any differs.
        """
        bucket_indexes: list[int] = []
        differing_records: list[Record] = []
        # Another build may have another number of buckets.
        pairs = zip(buckets, self._buckets, strict=False)
        for index, (digest, own_digest) in enumerate(pairs):
            if digest == own_digest:
                continue
            in_this_bucket = self.in_bucket(index)
            limit_bytes -= sum(
                stored.encoded_bytes for stored in in_this_bucket
            )
            if bucket_indexes and limit_bytes < 0:
                break
            bucket_indexes.append(index)
            differing_records.extend(stored.record for stored in in_this_bucket)
        return tuple(bucket_indexes), tuple(differing_records)

    def in_bucket(self, index: int) -> list[_StoredRecord[Record]]:
        """Return the records in one bucket, with their sizes and hashes."""
        return [
            stored
            for name, stored in self._stored.items()
            if bucket_of(name) == index
        ]

    def _store(self, record: Record) -> None:
        self.drop(record.name)
        encoded = encode(record)
        digest = xxh32_intdigest(encoded) if self._hashed(record) else 0
        self._stored[record.name] = _StoredRecord(
            record=record,
            encoded_bytes=len(encoded),
            digest=digest,
        )
        self._buckets[bucket_of(record.name)] ^= digest

    def _count_duplicate(self, received: Record) -> None:
        """Send a record less often if others send it as well."""
        name = received.name
        if name in self._sent_copies and self._stored[name].record == received:
            self._count_copies(name, _COPIES_PER_DUPLICATE)

    def _count_copies(self, name: str, copies: int) -> None:
        max_copies = _COPIES_PER_DOUBLING * ceil(log2(self._receivers() + 2))
        self._sent_copies[name] += copies
        if self._sent_copies[name] >= max_copies:
            self._sent_copies.pop(name)


def bucket_of(name: str) -> int:
    """Return the bucket that a name belongs to."""
    return xxh32_intdigest(name.encode()) % BUCKETS
