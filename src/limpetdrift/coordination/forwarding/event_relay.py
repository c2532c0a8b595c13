"""Splits the body of an event stream into whole events.

An event ends with an empty line. If a body ends without one, its last event
is whole if the body is framed; otherwise it was cut off in transit.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from limpetdrift.protocol.counts import parse_count
from limpetdrift.verdict import (
    FailureError,
    Reason,
    may_have_run,
)

_EVENT_TERMINATOR = b'\n\n'
_ID_FIELD = b'id:'
_COMMENT = b':'
# Maximum length of one event. An engine that fails may send bytes without end.
MAX_EVENT_BYTES = 1_048_576
# Most events, and their bytes, that may follow each other without a new id:
# comments, empty lines, events without ids or with known ones. An empty line
# takes as long to relay as an event.
MAX_UNNUMBERED_EVENTS = 50_000
MAX_UNNUMBERED_BYTES = 67_108_864


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One event with its bytes; ``number`` is its id, if that is a number."""

    number: int | None
    payload: bytes

    @property
    def is_comment(self) -> bool:
        """Whether the event has only comments, which keep a stream alive."""
        lines = self.payload.splitlines()
        return all(line.startswith(_COMMENT) for line in lines if line)


def split_events(received: bytes) -> tuple[list[StreamEvent], bytes]:
    """Return the whole events at the start, and the bytes after them."""
    *complete, rest = received.split(_EVENT_TERMINATOR)
    return [_read_event(text + _EVENT_TERMINATOR) for text in complete], rest


async def whole_events(
    chunks: AsyncIterator[bytes],
    *,
    framed: bool,
) -> AsyncIterator[StreamEvent]:
    """Yield whole events.

    Raise ``FailureError`` if the last is cut off, or one is longer than
    ``MAX_EVENT_BYTES``.
    """
    rest = b''
    async for chunk in chunks:
        events, rest = split_events(rest + chunk)
        for event in events:
            yield event
        if len(rest) > MAX_EVENT_BYTES:
            raise FailureError(
                may_have_run(Reason.BAD_ANSWER, 'event is too long'),
            )
    if rest.strip():
        if not framed:
            raise FailureError(
                may_have_run(Reason.CONNECTION_BROKEN, 'event cut off'),
            )
        yield _read_event(rest)


async def progressing_events(
    events: AsyncIterator[StreamEvent],
) -> AsyncIterator[StreamEvent]:
    """Yield events while new ids come.

    Raise ``FailureError`` after ``MAX_UNNUMBERED_EVENTS`` events or
    ``MAX_UNNUMBERED_BYTES`` bytes without one.
    """
    last_number = -1
    count = 0
    length = 0
    async for event in events:
        count += 1
        length += len(event.payload)
        if event.number is not None and event.number > last_number:
            last_number = event.number
            count = 0
            length = 0
        if count > MAX_UNNUMBERED_EVENTS or length > MAX_UNNUMBERED_BYTES:
            raise FailureError(
                may_have_run(Reason.BAD_ANSWER, 'no new event ids'),
            )
        yield event


def _read_event(payload: bytes) -> StreamEvent:
    number = None
    for line in payload.splitlines():
        if line.startswith(_ID_FIELD):
            number = parse_count(line[len(_ID_FIELD) :].decode('latin-1'))
    return StreamEvent(number=number, payload=payload)
