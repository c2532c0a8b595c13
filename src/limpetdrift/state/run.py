"""One admitted request: its tokens so far, its end, and its readers.

Tokens carry offsets. A token that came before is dropped and counted; a gap
is a fault of the sender. Readers follow from any offset, as often as they
like.
"""

import math
from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.protocol.verdict import Failure, Verdict


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRequest:
    """An admitted request, as its owner keeps it.

    ``key`` is the caller's idempotency key, or one made here. ``deadline`` is
    in trio time. ``fingerprint`` identifies the body within the account.
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
    """The end of a whole answer."""

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
        """Whether the run has its whole answer or its failure."""
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
        """The text of the tokens that were produced here."""
        return ''.join(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """The tokens that were produced here, one by one."""
        return tuple(self._texts)

    def append(self, offset: int, text: str) -> bool:
        """Take a token; return whether it fits without a gap."""
        if offset < self.offset:
            telemetry.count('tokens_dropped', reason='repeated')
            return True
        if offset > self.offset:
            telemetry.count('tokens_dropped', reason='gap')
            return False
        self._texts.append(text)
        return True

    def wake_readers(self) -> None:
        """Tell the readers that something is new."""
        self._changed.set()
        self._changed = trio.Event()

    def finish(self, end: RunEnd) -> None:
        """End the run with a whole answer."""
        self.end = end
        self.verdict = Verdict.RAN
        self._conclude()

    def fail(self, failure: Failure) -> None:
        """End the run with a failure."""
        self.failure = failure
        self._conclude()

    async def read(
        self,
        offset: int,
        idle_seconds: float = math.inf,
    ) -> AsyncIterator[list[str]]:
        """Yield the tokens from an offset on, until the run ends.

        An empty list says that nothing came for ``idle_seconds``.
        """
        index = max(offset - self.request.start_offset, 0)
        self.readers += 1
        try:
            while True:
                changed = self._changed
                if index < len(self._texts):
                    part = self._texts[index:]
                    index = len(self._texts)
                    yield part
                elif self.ended:
                    return
                elif not await _came_within(changed, idle_seconds):
                    yield []
        finally:
            self.readers -= 1
            self.last_read_at = trio.current_time()

    async def wait_ended(self) -> None:
        """Wait for the answer or the failure."""
        self.readers += 1
        try:
            while not self.ended:
                await self._changed.wait()
        finally:
            self.readers -= 1

    def _conclude(self) -> None:
        self.ended_at = trio.current_time()
        self.wake_readers()


async def _came_within(event: trio.Event, seconds: float) -> bool:
    with trio.move_on_after(seconds):
        await event.wait()
        return True
    return False
