"""Messages of the platform's table service, and the calls that use them.

``TableCalls`` holds the calls as functions, so that tests can replace the
service by an in-memory table.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from expression import Result

from limpetdrift.verdict import Failure

# The version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RowKey:
    """The table and key of a row."""

    table: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row as read; ``version`` is ``ABSENT`` if it does not exist."""

    table: str
    key: str
    version: int
    value: Any = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """A condition: the row must have exactly this version."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """Writes a value to a row, and increments its version."""

    table: str
    key: str
    value: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Writes and deletions, done all or none, if every check holds."""

    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """The outcome of a transaction.

    If it was committed, ``versions`` holds the new versions of the rows that it
    put; if not, ``conflicts`` holds the rows that failed a check.
    """

    committed: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Row, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Scan:
    """Requests the rows of a table whose keys start with ``prefix``.

    It returns those with keys above ``after``, ``limit`` rows at most.
    """

    table: str
    prefix: str = ''
    after: str = ''
    limit: int = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Rows of a scan in the order of their keys.

    ``more`` is true if further rows follow.
    """

    rows: tuple[Row, ...]
    more: bool = False


@dataclass(frozen=True, kw_only=True)
class TableCalls:
    """The table service as four functions.

    ``batch`` commits each of its transactions independently. If ``transact``
    or ``batch`` fails with the verdict ``MAY_HAVE_RUN``, the outcome is
    unknown until the rows are read.
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
