"""What one connection counts for in the account of its process."""

from collections.abc import Callable

import trio

from limpetdrift.transport.bad_input import BadInputError
from limpetdrift.transport.connection_account import (
    CONNECTION_BYTES,
    ConnectionAccount,
)
from limpetdrift.transport.messages import UNAVAILABLE
from limpetdrift.transport.shedding import ConnectionUsage, Phase

# Body of a request that ``CONNECTION_BYTES`` covers.
SHORT_BODY_BYTES = 16_384
# What a line of a request's head counts for, once it is parsed.
LINE_BYTES = 256
# Least bytes of a read that keep a request from having stalled.
MIN_PROGRESS_BYTES = 1024


class Holding:
    """The phase of a connection, and the memory that it holds.

    ``drop`` is called when the account closes the connection to make room.
    ``kept_bytes`` are those of answers that are kept until they are whole.
    """

    def __init__(
        self, *, account: ConnectionAccount, drop: Callable[[], None]
    ) -> None:
        self.kept_bytes = 0
        self._account = account
        self._drop = drop
        self._phase = Phase.IDLE
        self._phase_since = trio.current_time()
        self._progress_at = self._phase_since
        self._body_bytes = 0
        self._line_bytes = 0
        self._answer_bytes = 0
        self._is_shed = False

    @property
    def account(self) -> ConnectionAccount:
        """The account of the connection."""
        return self._account

    @property
    def is_shed(self) -> bool:
        """Whether the account has closed the connection to make room."""
        return self._is_shed

    def usage(self) -> ConnectionUsage:
        """Return what the connection holds, for its account."""
        return ConnectionUsage(
            phase=self._phase,
            held_bytes=CONNECTION_BYTES
            + self._body_bytes
            + self._line_bytes
            + self._answer_bytes
            + self.kept_bytes,
            progress_at=self._progress_at,
            phase_since=self._phase_since,
        )

    def shed(self) -> None:
        """Drop what has arrived of a request, and close the connection."""
        self._is_shed = True
        self._drop()

    def open(self) -> bool:
        """Count the connection; return whether the account has room."""
        return self._account.open(self)

    def leave(self) -> None:
        """Count the connection no longer."""
        self._account.close(self, self.usage().held_bytes)

    def enter(self, phase: Phase) -> None:
        """Begin a phase, or go on with it, which is progress."""
        if phase is not self._phase:
            self._phase = phase
            self._phase_since = trio.current_time()
        self.note_progress()

    def note_progress(self, length: int = MIN_PROGRESS_BYTES) -> None:
        """Record that the peer has sent or read some bytes.

        A peer that sends a byte now and then has stalled.
        """
        if length >= MIN_PROGRESS_BYTES:
            self._progress_at = trio.current_time()

    def check(self) -> None:
        """Raise ``BadInputError`` if the connection had to make room."""
        if self._is_shed:
            raise _no_room()

    def reserve_body(self, length: int) -> None:
        """Count a body of ``length`` bytes, before its bytes are read.

        Raises ``BadInputError`` if the account has no room for them.
        """
        needed = max(0, length - SHORT_BODY_BYTES)
        _reserve(self, needed - self._body_bytes)
        self._body_bytes = needed

    def reserve_lines(self, count: int) -> None:
        """Count the lines of a head, before they are parsed.

        Raises ``BadInputError`` if the account has no room for them.
        """
        needed = count * LINE_BYTES
        _reserve(self, needed - self._line_bytes)
        self._line_bytes = needed

    def release_request(self) -> None:
        """Count a request that was answered no longer."""
        self.reserve_lines(0)
        self.reserve_body(0)

    def hold_answer(self, length: int) -> None:
        """Count an answer that the peer doesn't read at once, until 0 is left.

        It can't be refused, so that others make room for it.
        """
        self.enter(Phase.ANSWERING if length else Phase.SERVING)
        amount = length - self._answer_bytes
        self._answer_bytes = length
        if amount > 0:
            self._account.charge_answer(self, amount)
        elif not self._is_shed:
            self._account.release(-amount)


class AnswerMemory:
    """The memory of an answer that is kept until it is whole."""

    def __init__(self, *, holding: Holding) -> None:
        self._holding = holding
        self._kept_bytes = 0

    def reserve(self, length: int) -> bool:
        """Count ``length`` bytes in all; return whether there is room."""
        amount = length - self._kept_bytes
        if amount > 0:
            holding = self._holding
            if not holding.account.reserve(holding, amount, for_answer=True):
                return False
            holding.kept_bytes += amount
            self._kept_bytes = length
        return True

    def release(self) -> None:
        """Count the answer no longer, such as before it is written."""
        holding = self._holding
        holding.kept_bytes -= self._kept_bytes
        if not holding.is_shed:
            holding.account.release(self._kept_bytes)
        self._kept_bytes = 0


def _reserve(holding: Holding, amount: int) -> None:
    if amount > 0 and not holding.account.reserve(holding, amount):
        raise _no_room()
    if amount < 0 and not holding.is_shed:
        holding.account.release(-amount)


def _no_room() -> BadInputError:
    return BadInputError(UNAVAILABLE, 'no memory for the request now')
