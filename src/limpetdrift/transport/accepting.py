"""Accepts the connections of a server's listeners until it closes."""

from collections.abc import Awaitable, Callable

import trio

from limpetdrift.logs import warn

# The queue of a listener is empty if no connection comes out of it within this
# time. It is below the interval at which callers connect to a busy entry.
_QUEUE_CHECK_SECONDS = 0.002


class SharedListener(trio.abc.Listener):
    """A listener that stays open when a task that accepts from it ends."""

    def __init__(self, listener: trio.abc.Listener) -> None:
        self._listener = listener

    async def accept(self) -> trio.abc.Stream:
        """Return the stream of the next connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Leave the listener open."""
        await trio.lowlevel.checkpoint()


async def accept_queued(
    listener: trio.abc.Listener,
    handle_stream: Callable[[trio.abc.Stream], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    """Serve the connections that the system has accepted for a listener."""
    scope = trio.CancelScope()
    while not scope.cancelled_caught:
        with trio.move_on_after(_QUEUE_CHECK_SECONDS) as scope:
            try:
                stream = await listener.accept()
            except OSError as error:
                warn('queued connections are lost', detail=str(error))
                return
            nursery.start_soon(handle_stream, stream)
