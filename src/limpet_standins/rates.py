"""Limits the rate of calls, as the services of the platform do."""

from http import HTTPStatus

import trio

from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.server import Exchange

RETRY_AFTER_SECONDS = 1


class RateLimit:
    """A token bucket whose capacity is the calls of one second.

    ``allowed`` and ``refused`` count the calls so far.
    """

    def __init__(self, *, per_second: float) -> None:
        self.allowed = 0
        self.refused = 0
        self._calls_per_second = per_second
        self._tokens = per_second
        self._refilled_at: float | None = None

    def try_acquire(self) -> bool:
        """Use up one token; return False if none remains."""
        now = trio.current_time()
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._calls_per_second
            self._tokens = min(self._calls_per_second, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.allowed += 1
        return True


async def refuse_over_rate(exchange: Exchange, limit: RateLimit) -> bool:
    """Use up one token; if none remains, respond with 429, return True."""
    if limit.try_acquire():
        return False
    headers = (('retry-after', str(RETRY_AFTER_SECONDS)),)
    status = HTTPStatus.TOO_MANY_REQUESTS
    await exchange.respond(
        json_response({'code': 'over-rate'}, status=status, headers=headers),
    )
    return True
