"""Drains an entry, so that it leaves without interrupting a request.

The entry announces that it is leaving and accepts requests during a grace
period, in which callers may hold a discovery answer that lists it. Then it
refuses new work and ends with its last stream.

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
from limpetdrift.coordination.membership.discovery import (
    MAX_AGE_SECONDS,
    sample_entries,
    usable_entries,
)
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.supervision import record_error
from limpetdrift.verdict import Failure, Reason, not_run

# The grace period covers the lifetime of a discovery answer, which may come
# from the last entry that the gossip reaches, and may take as long to arrive
# as the caller waits for it.
DISSEMINATION_SECONDS = 3.0
DISCOVERY_TIMEOUT_SECONDS = 2.0
DRAIN_GRACE_SECONDS = (
    MAX_AGE_SECONDS + DISSEMINATION_SECONDS + DISCOVERY_TIMEOUT_SECONDS
)
SUCCESSOR_WAIT_SECONDS = 60.0
# Retry-after of refusals while no other entry is live.
NO_SUCCESSOR_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainTiming:
    """How long each step of a drain may last.

    ``drain_grace_seconds`` is the grace period. ``successor_wait_seconds``
    bounds how much longer an entry accepts requests because no other entry is
    live. ``max_deadline_seconds`` is the longest deadline that a request may
    have.
    """

    max_deadline_seconds: float
    drain_grace_seconds: float = DRAIN_GRACE_SECONDS
    successor_wait_seconds: float = SUCCESSOR_WAIT_SECONDS


class _DrainStep(Enum):
    SERVING = auto()
    GRACE_PERIOD = auto()
    REFUSING = auto()


class Drain:
    """The drain of this entry, and the step that it has reached.

    ``wait_until_idle`` returns when no stream is left.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        wait_until_idle: Callable[[], Awaitable[None]],
        timing: DrainTiming,
        randomness: Random,
    ) -> None:
        self._membership = membership
        self._wait_until_idle = wait_until_idle
        self._timing = timing
        self._randomness = randomness
        self._step = _DrainStep.SERVING
        self._changed = trio.Event()
        membership.on_change.append(lambda members: self._changed.set())

    @property
    def is_leaving(self) -> bool:
        """Whether the drain has begun."""
        return self._step is not _DrainStep.SERVING

    def admit(self) -> Result[None, Failure]:
        """Return an error if this entry no longer accepts new work."""
        if self._step is not _DrainStep.REFUSING:
            return Ok(None)
        alternatives = self._alternative_addresses()
        retry_after = None
        if not self._has_successor():
            retry_after = NO_SUCCESSOR_RETRY_AFTER_SECONDS
        return Error(
            not_run(
                Reason.DRAINING,
                'this entry is leaving',
                retry_after_seconds=retry_after,
                alternatives=alternatives,
            ),
        )

    async def run(self) -> None:
        """Drain this entry; return when its process may end."""
        logging.info(
            'drain started; accepting requests during the grace period'
        )
        self._step = _DrainStep.GRACE_PERIOD
        self._announce()
        await trio.sleep(self._timing.drain_grace_seconds)
        with trio.move_on_after(self._timing.successor_wait_seconds):
            await self._wait_for_successor()
        logging.info('drain: refusing new work; waiting for the last stream')
        self._step = _DrainStep.REFUSING
        with trio.move_on_after(self._timing.max_deadline_seconds):
            await self._wait_until_idle()
            return
        telemetry.count('drains_overdue')
        logging.warning(
            'drain overdue: streams still run after the longest deadline'
        )

    def _announce(self) -> None:
        try:
            self._membership.leave()
        except Exception as error:
            # The peers hear of it later; what was accepted is still answered.
            record_error('drain', error)

    async def _wait_for_successor(self) -> None:
        while not self._has_successor():
            await self._changed.wait()
            self._changed = trio.Event()

    def _has_successor(self) -> bool:
        own = self._membership.node.name
        entries = self._membership.live_entries()
        return any(entry.name != own for entry in entries)

    def _alternative_addresses(self) -> tuple[str, ...]:
        own = self._membership.node.name
        usable = usable_entries(self._membership, excluding=own)
        chosen = sample_entries(usable, self._randomness)
        return tuple(str(entry.caller_address) for entry in chosen)
