"""Returns free memory of the C library's heap to the system.

The library keeps freed memory while something above it is in use. After a
crowd of callers that may be most of what the process holds.
"""

from functools import cache
from typing import Any


def return_free_memory() -> None:
    """Return whole free pages, where the C library can do this."""
    library = _c_library()
    if hasattr(library, 'malloc_trim'):
        library.malloc_trim(0)


@cache
def _c_library() -> Any:
    # Loading ctypes would lengthen each start.
    import ctypes

    return ctypes.CDLL(None)
