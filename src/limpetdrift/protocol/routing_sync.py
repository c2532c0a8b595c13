"""Messages by which entries pass routes and endpoints on to each other."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from expression import Error, Result
from xxhash import xxh32_intdigest

from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.verdict import Failure, Reason, may_have_run
from limpetdrift.protocol.work import ListedEndpoint

Content = TypeVar('Content')

# The fastest level; tables of routes shrink tenfold by it.
_LEVEL = 1
# No table of routes or list of endpoints comes near this size.
_CONTENT_BYTES = 64_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSyncRequest:
    """Asks for what is newer than these versions, for so long at most.

    ``list_digest`` tells lists of one version apart: a reader drops entries
    that did not come back after an outage without a new version.
    """

    routes_version: int
    list_version: int
    wait_seconds: float
    list_digest: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class KnowledgeReply:
    """Versions, how long ago they were confirmed, and what is newer.

    ``routes`` and ``endpoints`` are packed, and missing where the asker has
    them. ``is_cut`` says that the replier can't reach the store now.
    """

    routes_version: int
    routes_age_seconds: float
    list_version: int
    list_age_seconds: float
    is_cut: bool
    routes: bytes | None = None
    endpoints: bytes | None = None


def digest_of(endpoints: Iterable[ListedEndpoint]) -> int:
    """Return a digest that differs between two lists of endpoints."""
    named = sorted(
        (each.name, each.lifetime, each.leaving) for each in endpoints
    )
    return xxh32_intdigest(encode(named))


def pack(content: object) -> bytes:
    """Return a message in few bytes."""
    return zlib.compress(encode(content), _LEVEL)


def unpack(packed: bytes, kind: type[Content]) -> Result[Content, Failure]:
    """Read a packed message.

    >>> unpack(pack([1, 2]), list[int]).ok
    [1, 2]
    """
    try:
        payload = zlib.decompressobj().decompress(packed, _CONTENT_BYTES)
    except zlib.error as error:
        return Error(may_have_run(Reason.BAD_ANSWER, str(error)))
    return decode(payload, kind)
