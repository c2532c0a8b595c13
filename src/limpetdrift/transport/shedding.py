"""Chooses the connection to close when the account of connections is full.

The load is a crowd of callers that send more than they may, or stop in the
middle of a request and stay connected, or don't read their answers. A request
that is being served is never given up, since it may have run.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

Key = TypeVar('Key')

# A request or answer without progress for this time has stalled. Networks lose
# and resend a segment within it.
STALL_SECONDS = 2.0
# A write that takes longer has a slow reader, who makes room for new callers.
SLOW_WRITE_SECONDS = 2.0
# Callers that keep a connection open send the next request mostly sooner.
MIN_IDLE_SECONDS = 1.0
# Above what is reserved for the next read of a body.
LARGER_BY_BYTES = 65_536

_STALLED_RANK = 3
_IDLE_RANK = 2
_LARGER_RANK = 1
_SLOW_RANK = 0


class Phase(Enum):
    """What a connection does.

    It waits for a request, receives or serves one, or waits until its peer
    reads the answer.
    """

    IDLE = 'idle'
    RECEIVING = 'receiving'
    SERVING = 'serving'
    ANSWERING = 'answering'


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionUsage:
    """What a connection holds, and when its peer last sent or read something.

    ``held_bytes`` counts memory. ``progress_at`` is in seconds, as is
    ``phase_since``, when the phase began.
    """

    phase: Phase
    held_bytes: int
    progress_at: float
    phase_since: float = 0.0


def choose_to_shed(
    usages: Iterable[tuple[Key, ConnectionUsage]],
    *,
    requested_bytes: int,
    closes_idle: bool,
    now: float,
) -> Key | None:
    """Return the connection to close, so that another one gets memory.

    That one would hold ``requested_bytes``. A request or an answer that has
    stalled goes first, the largest before others. The connection that was idle
    longest is next, but only if ``closes_idle``: for a connection that was
    just accepted, or a body while bodies have less than their share. Then a
    request that is larger than the one that asks makes room, so that ordinary
    requests go before large ones. At last, and in place of idle connections
    only, it is the answer that has taken its peer the longest. ``None`` if
    there is no such connection, and the one that asks has to be refused.

    >>> stalled = ConnectionUsage(
    ...     phase=Phase.RECEIVING, held_bytes=5, progress_at=0.0
    ... )
    >>> choose_to_shed(
    ...     [('a', stalled)], requested_bytes=9, closes_idle=False, now=3.0
    ... )
    'a'
    """
    chosen = None
    highest: tuple[int, float] | None = None
    for key, usage in usages:
        rank = _shedding_rank(usage, requested_bytes, closes_idle, now)
        if rank is not None and (highest is None or rank > highest):
            highest = rank
            chosen = key
    return chosen


def _shedding_rank(
    usage: ConnectionUsage, requested_bytes: int, closes_idle: bool, now: float
) -> tuple[int, float] | None:
    """Return the rank of a connection, ``None`` if it stays open."""
    quiet_seconds = now - usage.progress_at
    if usage.phase is Phase.IDLE:
        if closes_idle and quiet_seconds >= MIN_IDLE_SECONDS:
            return (_IDLE_RANK, quiet_seconds)
        return None
    if usage.phase is Phase.SERVING:
        return None
    if quiet_seconds >= STALL_SECONDS:
        return (_STALLED_RANK, usage.held_bytes)
    is_receiving = usage.phase is Phase.RECEIVING
    if is_receiving and usage.held_bytes > requested_bytes + LARGER_BY_BYTES:
        return (_LARGER_RANK, usage.held_bytes)
    write_seconds = now - usage.phase_since
    if closes_idle and not is_receiving and write_seconds >= SLOW_WRITE_SECONDS:
        return (_SLOW_RANK, write_seconds)
    return None
