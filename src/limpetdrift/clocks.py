"""A clock that keeps counting while the machine is suspended.

``trio.current_time`` stops meanwhile, so cached data would seem younger than
it is. Where the system has no such clock, the monotonic one is used.
"""

import time


def boot_time() -> float:
    """Return the seconds since boot, including time in suspension."""
    try:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    except (AttributeError, OSError):
        return time.monotonic()
