"""A limit on calls a second, as the platform's services have."""

import trio


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
