"""The platform's table service: messages, and the calls that use them.

The calls are plain functions gathered in ``TableCalls``, so that a test puts
an in-memory table in the place of the service.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from expression import Result

from limpetdrift.protocol.verdict import Failure

ABSENT = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """Names a row."""

    table: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read; ``version`` is ``ABSENT`` where there is none."""

    table: str
    key: str
    version: int
    value: Any = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """The row must have exactly this version."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """Write this value; the version grows by one."""

    table: str
    key: str
    value: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """All of it or none, when every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Whether a transaction was committed; if not, the rows in the way."""

    committed: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Row, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Scan:
    """Rows of a table whose keys start with ``prefix``, after ``after``."""

    table: str
    prefix: str = ''
    after: str = ''
    limit: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """A part of a scan's rows, in the order of their keys."""

    rows: tuple[Row, ...]
    more: bool = False


@dataclass(frozen=True, kw_only=True)
class TableCalls:
    """The table service as four functions.

    A failed ``transact`` or ``batch`` with the verdict ``MAY_HAVE_RUN`` has
    an unknown outcome, which only a read can settle.
    """

    transact: Callable[[Transaction], Awaitable[Result[Outcome, Failure]]]
    batch: Callable[
        [tuple[Transaction, ...]],
        Awaitable[Result[tuple[Outcome, ...], Failure]],
    ]
    read: Callable[
        [tuple[RowKey, ...]],
        Awaitable[Result[tuple[Row, ...], Failure]],
    ]
    scan: Callable[[Scan], Awaitable[Result[Page, Failure]]]
