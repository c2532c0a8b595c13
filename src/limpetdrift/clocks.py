"""A clock that also counts the time during which the machine was suspended.

``trio.current_time`` stands still meanwhile, so it can't tell how old a
belief is. Where the system has no such clock, the steady one is used.
"""

import time


def boot_time() -> float:
    """Return seconds since boot, suspension included."""
    try:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    except (AttributeError, OSError):
        return time.monotonic()
