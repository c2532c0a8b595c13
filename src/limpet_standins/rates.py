"""A limit on calls a second, as the platform's services have."""

from http import HTTPStatus

import trio

from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.server import Exchange

RETRY_AFTER_SECONDS = 1


class RateLimit:
    """A token bucket that holds one second's worth of calls."""

    def __init__(self, *, per_second: float) -> None:
        self.allowed = 0
        self.refused = 0
        self._per_second = per_second
        self._left = per_second
        self._filled_at: float | None = None

    def take(self) -> bool:
        """Use up one call; False when the rate is exceeded."""
        now = trio.current_time()
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._per_second
            self._left = min(self._per_second, self._left + gained)
        self._filled_at = now
        if self._left < 1:
            self.refused += 1
            return False
        self._left -= 1
        self.allowed += 1
        return True


async def refuse_over_rate(exchange: Exchange, limit: RateLimit) -> bool:
    """Use up one call; answer with 429 and return True when over the rate."""
    if limit.take():
        return False
    headers = (('retry-after', str(RETRY_AFTER_SECONDS)),)
    status = HTTPStatus.TOO_MANY_REQUESTS
    await exchange.respond(
        json_response({'code': 'over-rate'}, status=status, headers=headers),
    )
    return True
