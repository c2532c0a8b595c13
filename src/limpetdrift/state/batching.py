"""Groups items that are submitted within a short time into one call.

A table service with a bounded rate of calls thus serves more items a second.

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
from limpetdrift.supervision import run_contained
from limpetdrift.verdict import (
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

BATCH_WINDOW_SECONDS = 0.004
MAX_QUEUE_WAIT_SECONDS = 2.0
# The table service refuses a call with more items.
BATCH_ITEMS = 100
MAX_QUEUED_ITEMS = 10_000
# Retry interval that a refused submitter is given.
RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchLimits:
    """Bounds on batches and on the queue.

    ``window_seconds`` is the time that a batch which isn't full waits for
    more items, ``wait_seconds`` the longest time that an item stays queued.
    ``batch_items`` and ``queued_items`` are the most items of one call and of
    the queue.
    """

    window_seconds: float = BATCH_WINDOW_SECONDS
    wait_seconds: float = MAX_QUEUE_WAIT_SECONDS
    batch_items: int = BATCH_ITEMS
    queued_items: int = MAX_QUEUED_ITEMS


class _PendingItem(Generic[Item, Answer]):
    """A submitted item, and its answer once the call has returned.

    Until then the answer is the failure to report if the sending task is
    cancelled: the item may have been processed.
    """

    def __init__(self, *, item: Item, rank: float) -> None:
        self.item = item
        self.rank = rank
        self.sent = trio.Event()
        self.answered = trio.Event()
        self.answer: Result[Answer, Failure] = Error(
            may_have_run(Reason.CANCELLED, 'the sender ended'),
        )

    def complete(self, answer: Result[Answer, Failure]) -> None:
        """Store the answer and wake the submitter."""
        self.answer = answer
        self.answered.set()


class Batcher(Generic[Item, Answer]):
    """A queue whose items are sent in batches, one per permit of ``admit``.

    ``send`` gets the items of one batch and returns their answers in the same
    order; ``admit`` returns when the next call may be made.
    """

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
        self._queue: list[_PendingItem] = []
        self._item_added = trio.Event()
        self._queue_emptied = trio.Event()

    async def submit(
        self,
        new_item: Item,
        *,
        delay_rank_seconds: float,
    ) -> Result[Answer, Failure]:
        """Queue an item for the next batch and return its answer.

        Items are sent in the order of their submission time plus
        ``delay_rank_seconds``: a large value gives the item a lower priority
        without starving it. An item that isn't sent within ``wait_seconds``
        is removed from the queue and refused as not run.
        """
        if len(self._queue) >= self._limits.queued_items:
            return _refuse('the queue is full')
        pending: _PendingItem[Item, Answer] = _PendingItem(
            item=new_item,
            rank=trio.current_time() + delay_rank_seconds,
        )
        self._queue.append(pending)
        self._item_added.set()
        try:
            with trio.move_on_after(self._limits.wait_seconds):
                await pending.sent.wait()
        finally:
            if not pending.sent.is_set():
                self._queue.remove(pending)
                self._notify_if_empty()
        if not pending.sent.is_set():
            return _refuse('no turn in time')
        await pending.answered.wait()
        return pending.answer

    async def wait_until_empty(self) -> None:
        """Wait until the queue is empty; calls may still be in progress."""
        while self._queue:
            await self._queue_emptied.wait()

    async def run(self) -> None:
        """Send the submitted items in batches until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_items()
                await self._admit()
                batch = self._take_batch()
                if batch:
                    nursery.start_soon(
                        run_contained, 'store-batch', self._send_batch, batch
                    )

    async def _wait_for_items(self) -> None:
        while not self._queue:
            self._item_added = trio.Event()
            await self._item_added.wait()
        if len(self._queue) < self._limits.batch_items:
            await trio.sleep(self._limits.window_seconds)

    def _take_batch(self) -> list[_PendingItem]:
        self._queue.sort(key=lambda pending: pending.rank)
        batch = self._queue[: self._limits.batch_items]
        self._queue = self._queue[self._limits.batch_items :]
        for pending in batch:
            pending.sent.set()
        self._notify_if_empty()
        return batch

    def _notify_if_empty(self) -> None:
        if not self._queue:
            self._queue_emptied.set()
            self._queue_emptied = trio.Event()

    async def _send_batch(self, batch: list[_PendingItem]) -> None:
        try:
            answers = await self._send(tuple(each.item for each in batch))
            _complete_all(batch, answers)
        finally:
            for pending in batch:
                pending.answered.set()


def _complete_all(
    batch: list[_PendingItem],
    answers: Result[tuple[Answer, ...], Failure],
) -> None:
    if answers.is_error():
        for failed in batch:
            failed.complete(Error(answers.error))
        return
    for pending, answer in zip(batch, answers.ok, strict=True):
        pending.complete(Result.Ok(answer))


def _refuse(detail: str) -> Result[Answer, Failure]:
    telemetry.count('refusals', reason=Reason.STORE_RATE)
    return Error(
        not_run(
            Reason.STORE_RATE,
            detail,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        ),
    )
