"""Events about cached blocks, which come late and with gaps."""

from collections import deque
from dataclasses import dataclass

import trio

from limpet_standins.controls import Controls

KEPT_EVENTS = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A block was stored or removed."""

    seq: int
    kind: str
    block: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EventPage:
    """Events from ``first`` on; ``next`` is where the next page starts."""

    first: int
    next: int
    events: tuple[CacheEvent, ...]


class CacheEvents:
    """The last events; those of the last moments are not shown yet."""

    def __init__(self, *, lag_seconds: float, controls: Controls) -> None:
        self._lag_seconds = lag_seconds
        self._controls = controls
        self._next = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=KEPT_EVENTS,
        )

    def add(self, kind: str, block: int) -> None:
        """Add an event, or lose it with all that came before it."""
        event = CacheEvent(seq=self._next, kind=kind, block=block)
        self._next += 1
        if self._controls.faults.drop_cache_events:
            self._events.clear()
            return
        self._events.append((trio.current_time(), event))

    def page(self, after: int) -> EventPage:
        """Return the events with this number and above."""
        horizon = trio.current_time() - self._lag_seconds
        first = self._events[0][1].seq if self._events else self._next
        shown = [event for at, event in self._events if at <= horizon]
        upto = shown[-1].seq + 1 if shown else first
        events = tuple(event for event in shown if event.seq >= after)
        return EventPage(first=first, next=upto, events=events)
