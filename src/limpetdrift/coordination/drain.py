"""How an entry leaves without cutting off a request.

It announces that it leaves, serves on while callers may hold a discovery
answer that names it, then refuses new work and ends with its last stream.

>>> drain = Drain(membership=membership, ...)  # doctest: +SKIP
>>> drain.admit()  # doctest: +SKIP
>>> await drain.run()  # doctest: +SKIP
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto
from random import Random

import trio
from absl import logging
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.discovery import (
    MAX_AGE_SECONDS,
    sample_entries,
    usable_entries,
)
from limpetdrift.coordination.membership import Membership
from limpetdrift.protocol.verdict import Failure, Reason, not_run

# The answer may come from an entry that hears of the leaving last, and be
# under way for as long as the caller waits for it.
SPREAD_SECONDS = 3.0
ANSWER_SECONDS = 2.0
DRAIN_GRACE_SECONDS = MAX_AGE_SECONDS + SPREAD_SECONDS + ANSWER_SECONDS
SUCCESSOR_WAIT_SECONDS = 60.0
NOBODY_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainTiming:
    """How long each step of a drain may last.

    ``alone_seconds`` bounds how long an entry serves on because every other
    one is leaving too; ``longest_seconds`` is the longest deadline that a
    request may have.
    """

    max_deadline_seconds: float
    drain_grace_seconds: float = DRAIN_GRACE_SECONDS
    successor_wait_seconds: float = SUCCESSOR_WAIT_SECONDS


class _Step(Enum):
    SERVING = auto()
    SERVING_ON = auto()
    REFUSING = auto()


class Drain:
    """Which step of its leaving this entry is at.

    ``drained`` returns when no stream is left.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        wait_until_idle: Callable[[], Awaitable[None]],
        timing: DrainTiming,
        random: Random,
    ) -> None:
        self._membership = membership
        self._wait_until_idle = wait_until_idle
        self._timing = timing
        self._random = random
        self._step = _Step.SERVING
        self._changed = trio.Event()
        membership.on_change.append(lambda members: self._changed.set())

    @property
    def is_leaving(self) -> bool:
        """Whether the drain has begun."""
        return self._step is not _Step.SERVING

    def admit(self) -> Result[None, Failure]:
        """Return the refusal of new work, once there is one."""
        if self._step is not _Step.REFUSING:
            return Ok(None)
        others = self._others()
        retry_after = None
        if not self._has_successor():
            retry_after = NOBODY_RETRY_AFTER_SECONDS
        return Error(
            not_run(
                Reason.DRAINING,
                'this entry is leaving',
                retry_after_seconds=retry_after,
                alternatives=others,
            ),
        )

    async def run(self) -> None:
        """Leave; returns when the process may end."""
        logging.info('leaving; serving on for callers that know this entry')
        self._step = _Step.SERVING_ON
        self._membership.leave()
        await trio.sleep(self._timing.drain_grace_seconds)
        with trio.move_on_after(self._timing.successor_wait_seconds):
            await self._wait_for_successor()
        logging.info('refusing new work; waiting for the last stream')
        self._step = _Step.REFUSING
        with trio.move_on_after(self._timing.max_deadline_seconds):
            await self._wait_until_idle()
            return
        telemetry.count('drains_overdue')
        logging.warning('streams are left past the longest deadline')

    async def _wait_for_successor(self) -> None:
        while not self._has_successor():
            await self._changed.wait()
            self._changed = trio.Event()

    def _has_successor(self) -> bool:
        own = self._membership.node.name
        entries = self._membership.live_entries()
        return any(entry.name != own for entry in entries)

    def _others(self) -> tuple[str, ...]:
        own = self._membership.node.name
        usable = usable_entries(self._membership, but=own)
        chosen = sample_entries(usable, self._random)
        return tuple(str(entry.caller_address) for entry in chosen)
