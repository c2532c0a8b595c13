"""Rows that claim non-idempotent requests in the table service.

A row's key is made of the client account and the caller's idempotency key.
It is inserted before a request is dispatched and keeps the request's result
afterwards. Results above ``INLINE_RESULT_BYTES`` go to the object store.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from hashlib import sha256

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.objects import ObjectCalls
from limpetdrift.protocol.table import (
    Check,
    Outcome,
    Put,
    Row,
    RowKey,
    TableCalls,
    Transaction,
)
from limpetdrift.protocol.verdict import Failure
from limpetdrift.transport.messages import Address, Headers

CLAIMS_TABLE = 'claims'
INLINE_RESULT_BYTES = 8_192


@unique
class ClaimState(StrEnum):
    """What a claim's row says of its request.

    ``INTENT`` may be dispatched by its owner only; ``SEALED`` never was and
    may be taken over; ``FINISHED`` has a result; ``UNCERTAIN`` may have run.
    """

    INTENT = 'intent'
    NOT_DISPATCHED = 'sealed'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResult:
    """A request's first answer, as resends get it."""

    status: int
    headers: Headers = ()
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """The value of a claim's row.

    ``token`` is unique to one try of one owner. ``epoch`` is the retention
    epoch of the latest write.
    """

    token: str
    fingerprint: str
    state: ClaimState
    owner: str
    incarnation: int
    owner_address: Address
    endpoint: Endpoint
    stream_id: str
    epoch: int
    kept: StoredResult | None = None
    result_object: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedClaim:
    """A claim's row as read, with the version to compare on a write."""

    key: str
    version: int
    row: ClaimRow


def claim_key(account: str, idempotency_key: str) -> str:
    """Return the row key for an account's idempotency key.

    >>> claim_key('kiosk-desk', 'van-17')[:11]
    'kiosk-desk/'
    """
    digest = sha256(idempotency_key.encode()).hexdigest()
    return f'{account}/{digest}'


def read_claim(found: Row) -> VersionedClaim | None:
    """Return the claim in a row, or nothing where the row is absent."""
    if found.value is None:
        return None
    return VersionedClaim(
        key=found.key,
        version=found.version,
        row=msgspec.convert(found.value, ClaimRow),
    )


class ClaimStore:
    """Reads and conditional writes of claims."""

    def __init__(
        self,
        *,
        table: TableCalls,
        objects: ObjectCalls,
        epoch: Callable[[], int | None],
    ) -> None:
        self._table = table
        self._objects = objects
        self._epoch = epoch

    def stamp(self, row: ClaimRow) -> ClaimRow:
        """Return the row in the current epoch, if that is known."""
        epoch = self._epoch()
        return row if epoch is None else replace(row, epoch=epoch)

    def current_epoch(self) -> int | None:
        """Return the retention epoch, or nothing where it isn't known."""
        return self._epoch()

    async def write(
        self,
        key: str,
        version: int,
        row: ClaimRow,
    ) -> Result[Outcome, Failure]:
        """Write a claim if its row still has that version."""
        return await self._table.transact(
            Transaction(
                checks=(Check(table=CLAIMS_TABLE, key=key, version=version),),
                puts=(
                    Put(
                        table=CLAIMS_TABLE,
                        key=key,
                        value=msgspec.to_builtins(row),
                    ),
                ),
            ),
        )

    async def read(self, key: str) -> Result[VersionedClaim | None, Failure]:
        """Read a claim."""
        rows = await self._table.read((RowKey(table=CLAIMS_TABLE, key=key),))
        return rows.map(lambda found: read_claim(found[0]))

    async def store_result(
        self,
        row: ClaimRow,
        kept: StoredResult,
    ) -> Result[ClaimRow, Failure]:
        """Return the finished row; store a large result apart first."""
        finished = replace(self.stamp(row), state=ClaimState.FINISHED)
        if len(kept.body) <= INLINE_RESULT_BYTES:
            return Ok(replace(finished, kept=kept))
        name = f'claims-{row.token}'
        stored = await self._objects.put(name, encode(kept))
        return stored.map(lambda _: replace(finished, result_object=name))

    async def load(self, row: ClaimRow) -> Result[StoredResult, Failure]:
        """Return the result of a finished row."""
        if row.kept is not None:
            return Ok(row.kept)
        stored = await self._objects.fetch(row.result_object)
        if stored.is_error():
            return Error(stored.error)
        return decode(stored.ok, StoredResult)
