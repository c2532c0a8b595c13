"""Stores the claims of non-idempotent requests in the table service.

A claim is the row that says who may run a request, so that it runs at most
once. Its key consists of the client account and the caller's idempotency key.
It is inserted before the request is dispatched and holds the request's result
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
from limpetdrift.transport.messages import Address, Headers
from limpetdrift.verdict import Failure

CLAIMS_TABLE = 'claims'
INLINE_RESULT_BYTES = 8_192


@unique
class ClaimState(StrEnum):
    """The state of a claimed request.

    ``INTENT`` may be dispatched, by the claim's owner only.
    ``NOT_DISPATCHED`` never was, and the claim may be taken over.
    ``FINISHED`` has a result. ``UNCERTAIN`` may have run, without a result.
    """

    INTENT = 'intent'
    NOT_DISPATCHED = 'sealed'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredResult:
    """The first answer to a request, which its resends get as well."""

    status: int
    headers: Headers = ()
    body: bytes = b''


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRow:
    """The value of a claim's row.

    ``token`` is unique to one try of one owner. ``epoch`` is the retention
    epoch of the latest write. ``kept`` holds a small result, and
    ``result_object`` names the object with a large one.
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
    """A claim's row as read, with the version that a write compares."""

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


def read_claim(row: Row) -> VersionedClaim | None:
    """Return the claim in a row, or ``None`` if the row is absent."""
    if row.value is None:
        return None
    return VersionedClaim(
        key=row.key,
        version=row.version,
        row=msgspec.convert(row.value, ClaimRow),
    )


class ClaimStore:
    """Reads claims, and writes them conditionally."""

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

    def with_current_epoch(self, row: ClaimRow) -> ClaimRow:
        """Return the row with the current epoch, unchanged if unknown."""
        epoch = self._epoch()
        return row if epoch is None else replace(row, epoch=epoch)

    def current_epoch(self) -> int | None:
        """Return the current retention epoch, or ``None`` if unknown."""
        return self._epoch()

    async def write(
        self,
        key: str,
        version: int,
        row: ClaimRow,
    ) -> Result[Outcome, Failure]:
        """Write a claim if its row still has the given version."""
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
        """Read a claim; ``None`` if it doesn't exist."""
        rows = await self._table.read((RowKey(table=CLAIMS_TABLE, key=key),))
        return rows.map(lambda found: read_claim(found[0]))

    async def store_result(
        self,
        row: ClaimRow,
        result: StoredResult,
    ) -> Result[ClaimRow, Failure]:
        """Return the finished row; store a large result as an object."""
        finished = replace(
            self.with_current_epoch(row), state=ClaimState.FINISHED
        )
        if len(result.body) <= INLINE_RESULT_BYTES:
            return Ok(replace(finished, kept=result))
        name = f'claims-{row.token}'
        stored = await self._objects.put(name, encode(result))
        return stored.map(lambda _: replace(finished, result_object=name))

    async def load(self, row: ClaimRow) -> Result[StoredResult, Failure]:
        """Return the result of a finished row."""
        if row.kept is not None:
            return Ok(row.kept)
        stored = await self._objects.fetch(row.result_object)
        if stored.is_error():
            return Error(stored.error)
        return decode(stored.ok, StoredResult)
