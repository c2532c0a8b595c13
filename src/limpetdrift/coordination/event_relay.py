"""Cuts the body of an event stream into whole events.

An event ends with an empty line. What is left of a body after its last whole
event was cut off on the way.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from limpetdrift.protocol.verdict import (
    FailureError,
    Reason,
    may_have_run,
)

_END = b'\n\n'
_ID = b'id:'


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEvent:
    """One event with its bytes; ``number`` is its id where it has one."""

    number: int | None
    payload: bytes


def split_events(received: bytes) -> tuple[list[StreamEvent], bytes]:
    """Return the whole events at the start, and what is left."""
    *whole, rest = received.split(_END)
    return [_read_event(text + _END) for text in whole], rest


async def whole_events(
    chunks: AsyncIterator[bytes],
    *,
    framed: bool,
) -> AsyncIterator[StreamEvent]:
    """Yield whole events; raise ``FailureError`` where one is cut off."""
    rest = b''
    async for chunk in chunks:
        events, rest = split_events(rest + chunk)
        for event in events:
            yield event
    if rest.strip():
        if not framed:
            raise FailureError(
                may_have_run(Reason.CONNECTION_BROKEN, 'event cut off'),
            )
        yield _read_event(rest)


def _read_event(payload: bytes) -> StreamEvent:
    number = None
    for line in payload.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            number = int(text) if text.isdigit() else None
    return StreamEvent(number=number, payload=payload)
