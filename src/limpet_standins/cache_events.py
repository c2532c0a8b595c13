"""Reports changes of an engine's prefix cache as numbered events.

Events are served late, and a fault can lose some, so that tests can cover
readers whose view of the cache lags behind or has gaps.
"""

from collections import deque
from dataclasses import dataclass

import trio

from limpet_standins.controls import Controls

MAX_EVENTS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A block was ``stored`` in the cache or ``removed`` from it."""

    seq: int
    kind: str
    block: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EventPage:
    """A page of events, in order.

    ``first`` is the number of the oldest event that is retained: a reader
    that expected an older one has missed events. ``next`` is the number at
    which the next page starts.
    """

    first: int
    next: int
    events: tuple[CacheEvent, ...]


class CacheEvents:
    """The latest events, each of which becomes visible after the lag."""

    def __init__(self, *, lag_seconds: float, controls: Controls) -> None:
        self._lag_seconds = lag_seconds
        self._controls = controls
        self._next_number = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=MAX_EVENTS,
        )

    def add(self, kind: str, block: int) -> None:
        """Add an event.

        Under the fault ``drop_cache_events`` it is lost, with all events
        before it.
        """
        event = CacheEvent(seq=self._next_number, kind=kind, block=block)
        self._next_number += 1
        if self._controls.faults.drop_cache_events:
            self._events.clear()
            return
        self._events.append((trio.current_time(), event))

    def page(self, after: int) -> EventPage:
        """Return the visible events whose number is ``after`` or above."""
        visible_until = trio.current_time() - self._lag_seconds
        first = self._events[0][1].seq if self._events else self._next_number
        visible = [
            event
            for added_at, event in self._events
            if added_at <= visible_until
        ]
        next_number = visible[-1].seq + 1 if visible else first
        events = tuple(event for event in visible if event.seq >= after)
        return EventPage(first=first, next=next_number, events=events)
