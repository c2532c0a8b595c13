"""One admitted request: its tokens so far, its end, and its readers.

Tokens carry offsets. A repeated token is dropped and counted; a gap is a fault
of the sender. Readers may read from any offset, any number of times.
"""

import math
from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.verdict import Failure, Verdict


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRequest:
    """An admitted request, as its owner holds it.

    ``key`` is the caller's idempotency key, or a generated one. ``deadline``
    is in trio time. ``fingerprint`` identifies the body within the account.
    ``delivered`` is the text of the ``start_offset`` tokens that the caller
    has already.
    """

    handle: str
    key: str
    account: str
    model: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    urgency: int
    deadline: float
    fingerprint: str
    repeatable: bool = True
    start_offset: int = 0
    delivered: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class RunEnd:
    """How a complete answer ended, and its token counts."""

    finish: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Run:
    """The state of one request at its owner."""

    def __init__(self, *, request: RunRequest) -> None:
        self.request = request
        self.admitted_at = trio.current_time()
        self.attempts = 0
        self.verdict = Verdict.NOT_RUN
        self.end: RunEnd | None = None
        self.failure: Failure | None = None
        self.readers = 0
        self.last_read_at = self.admitted_at
        self.ended_at: float | None = None
        self.cancel_scope = trio.CancelScope()
        self._texts: list[str] = []
        self._changed = trio.Event()

    @property
    def ended(self) -> bool:
        """Whether the run has ended, with an answer or a failure."""
        return self.ended_at is not None

    @property
    def offset(self) -> int:
        """The offset of the next token, counted over all attempts."""
        return self.request.start_offset + len(self._texts)

    @property
    def delivered(self) -> str:
        """The text of all tokens so far, over all attempts."""
        return self.request.delivered + self.text

    @property
    def text(self) -> str:
        """The text of the tokens that this run produced."""
        return ''.join(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """The texts of the tokens that this run produced, one by one."""
        return tuple(self._texts)

    def append(self, offset: int, text: str) -> bool:
        """Append a token unless it is a repeat; return false on a gap."""
        if offset < self.offset:
            telemetry.count('tokens_dropped', reason='repeated')
            return True
        if offset > self.offset:
            telemetry.count('tokens_dropped', reason='gap')
            return False
        self._texts.append(text)
        return True

    def wake_readers(self) -> None:
        """Wake the readers after tokens were added or the run ended."""
        self._changed.set()
        self._changed = trio.Event()

    def finish(self, end: RunEnd) -> None:
        """End the run with a complete answer."""
        self.end = end
        self.verdict = Verdict.RAN
        self._mark_ended()

    def fail(self, failure: Failure) -> None:
        """End the run with a failure."""
        self.failure = failure
        self._mark_ended()

    async def read(
        self,
        offset: int,
        idle_seconds: float = math.inf,
    ) -> AsyncIterator[list[str]]:
        """Yield the tokens from an offset on, until the run ends.

        An empty list means that none was added for ``idle_seconds``.
        """
        index = max(offset - self.request.start_offset, 0)
        self.readers += 1
        try:
            while True:
                changed = self._changed
                if index < len(self._texts):
                    new_texts = self._texts[index:]
                    index = len(self._texts)
                    yield new_texts
                elif self.ended:
                    return
                elif not await _wait_at_most(changed, idle_seconds):
                    yield []
        finally:
            self.readers -= 1
            self.last_read_at = trio.current_time()

    async def wait_ended(self) -> None:
        """Wait until the run has ended."""
        self.readers += 1
        try:
            while not self.ended:
                await self._changed.wait()
        finally:
            self.readers -= 1

    def _mark_ended(self) -> None:
        self.ended_at = trio.current_time()
        self.wake_readers()


async def _wait_at_most(event: trio.Event, seconds: float) -> bool:
    with trio.move_on_after(seconds):
        await event.wait()
        return True
    return False
