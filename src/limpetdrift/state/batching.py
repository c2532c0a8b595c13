"""Groups items that are submitted within a short time into one call.

>>> batcher = Batcher(send=send, admit=admit, limits=BatchLimits())
>>> nursery.start_soon(batcher.run)  # doctest: +SKIP
>>> answer = await batcher.submit(item, delay_rank_seconds=0.0)
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

Item = TypeVar('Item')
Answer = TypeVar('Answer')
Send = Callable[
    [tuple[Item, ...]],
    Awaitable[Result[tuple[Answer, ...], Failure]],
]

WINDOW_SECONDS = 0.004
WAIT_SECONDS = 2.0
BATCH_ITEMS = 100
QUEUED_ITEMS = 10_000
RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchLimits:
    """Bounds on the grouping.

    ``window_seconds`` is how long the first item waits for others,
    ``wait_seconds`` how long one may wait until it is sent.
    """

    window_seconds: float = WINDOW_SECONDS
    wait_seconds: float = WAIT_SECONDS
    batch_items: int = BATCH_ITEMS
    queued_items: int = QUEUED_ITEMS


class _Pending(Generic[Item, Answer]):
    """An item on its way, and its answer once it is there."""

    def __init__(self, *, item: Item, rank: float) -> None:
        self.item = item
        self.rank = rank
        self.sent = trio.Event()
        self.settled = trio.Event()
        self.answer: Result[Answer, Failure] = Error(
            may_have_run(Reason.CANCELLED, 'the sender ended'),
        )

    def settle(self, answer: Result[Answer, Failure]) -> None:
        """Hand the answer to who waits for it."""
        self.answer = answer
        self.settled.set()


class Batcher(Generic[Item, Answer]):
    """A queue whose items go out together, as often as ``admit`` allows."""

    def __init__(
        self,
        *,
        send: Send,
        admit: Callable[[], Awaitable[None]],
        limits: BatchLimits,
    ) -> None:
        self._send = send
        self._admit = admit
        self._limits = limits
        self._queue: list[_Pending] = []
        self._filled = trio.Event()
        self._emptied = trio.Event()

    async def submit(
        self,
        submitted: Item,
        *,
        delay_rank_seconds: float,
    ) -> Result[Answer, Failure]:
        """Send an item with others and return its answer.

        Items go out in the order of their age less ``delay_rank_seconds``,
        so a large value lets others pass without starving the item. One that
        isn't sent in time is withdrawn and refused as not run.
        """
        if len(self._queue) >= self._limits.queued_items:
            return _refuse('the queue is full')
        pending: _Pending[Item, Answer] = _Pending(
            item=submitted,
            rank=trio.current_time() + delay_rank_seconds,
        )
        self._queue.append(pending)
        self._filled.set()
        try:
            with trio.move_on_after(self._limits.wait_seconds):
                await pending.sent.wait()
        finally:
            if not pending.sent.is_set():
                self._queue.remove(pending)
                self._note_emptied()
        if not pending.sent.is_set():
            return _refuse('no turn in time')
        await pending.settled.wait()
        return pending.answer

    async def wait_until_empty(self) -> None:
        """Wait until no item waits to be sent."""
        while self._queue:
            await self._emptied.wait()

    async def run(self) -> None:
        """Send what is submitted until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_items()
                await self._admit()
                chosen = self._choose()
                if chosen:
                    nursery.start_soon(self._send_chosen, chosen)

    async def _wait_for_items(self) -> None:
        while not self._queue:
            self._filled = trio.Event()
            await self._filled.wait()
        if len(self._queue) < self._limits.batch_items:
            await trio.sleep(self._limits.window_seconds)

    def _choose(self) -> list[_Pending]:
        self._queue.sort(key=lambda pending: pending.rank)
        chosen = self._queue[: self._limits.batch_items]
        self._queue = self._queue[self._limits.batch_items :]
        for pending in chosen:
            pending.sent.set()
        self._note_emptied()
        return chosen

    def _note_emptied(self) -> None:
        if not self._queue:
            self._emptied.set()
            self._emptied = trio.Event()

    async def _send_chosen(self, chosen: list[_Pending]) -> None:
        try:
            answers = await self._send(tuple(each.item for each in chosen))
            _settle_all(chosen, answers)
        finally:
            for pending in chosen:
                pending.settled.set()


def _settle_all(
    chosen: list[_Pending],
    answers: Result[tuple[Answer, ...], Failure],
) -> None:
    if answers.is_error():
        for failed in chosen:
            failed.settle(Error(answers.error))
        return
    for pending, answer in zip(chosen, answers.ok, strict=True):
        pending.settle(Result.Ok(answer))


def _refuse(detail: str) -> Result[Answer, Failure]:
    telemetry.count('refusals', reason=Reason.STORE_RATE)
    return Error(
        not_run(
            Reason.STORE_RATE,
            detail,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ),
    )
