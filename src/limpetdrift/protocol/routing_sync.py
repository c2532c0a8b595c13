"""Messages by which entries relay the routes and the endpoint list."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from expression import Error, Ok, Result
from msgspec import Raw
from xxhash import xxh32_intdigest

from limpetdrift.protocol.bounded import (
    BoundedInt,
    Era,
    Name,
    Seconds,
    is_header_text,
)
from limpetdrift.protocol.codec import decode, decode_json, encode
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.verdict import Failure, Reason, may_have_run

Content = TypeVar('Content')

# The era before any was seen.
UNKNOWN_ERA = 0
# The age of data that was never read or confirmed.
UNKNOWN_AGE_SECONDS = 1_000_000.0

# The fastest level of zlib, which already shrinks route tables tenfold.
_COMPRESSION_LEVEL = 1
# Limit of unpacked content, far above any route table or endpoint list.
_MAX_CONTENT_BYTES = 64_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuatedDomains:
    """The evacuated failure domains as of a version of the store.

    Versions are ordered within one ``era`` of the store. Version 0 means that
    nothing has been read.
    """

    era: Era = UNKNOWN_ERA
    version: BoundedInt = 0
    failure_domains: tuple[str, ...] = ()

    @property
    def position(self) -> tuple[int, int]:
        """The era and the version."""
        return self.era, self.version


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSyncRequest:
    """Long poll for routes or an endpoint list newer than these versions.

    Each version is of an era of the store; entries of a build without eras
    send none. ``evacuations_position`` is the era and version of the evacuated
    failure domains; entries of a build without evacuations send none. The reply
    is delayed by ``wait_seconds`` at most. ``list_digest`` distinguishes
    endpoint lists of the same version: an entry that reads the store drops
    endpoints that did not register again after an outage, which gives the list
    no new version. ``skipped`` names the readers of the store that the polling
    entry skips, so that the one that takes their place reads it.
    """

    routes_version: BoundedInt
    list_version: BoundedInt
    wait_seconds: Seconds
    list_digest: int = 0
    routes_era: Era | None = None
    list_era: Era | None = None
    evacuations_position: tuple[BoundedInt, BoundedInt] | None = None
    skipped: tuple[Name, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSyncReply:
    """The replier's versions, their ages, and the content that is newer.

    Each version is of an era of the store, as in the request.

    The ages count from the start of the read that confirmed the versions.
    ``evacuations`` is ``None`` if the polling entry has them already.
    ``routes`` and ``endpoints`` are packed, and ``None`` if the polling entry
    has them already. ``is_cut`` is true if the replier can't reach the store,
    and ``is_store_behind`` if the store shows an older configuration than the
    one in force, or one that can't be read. ``settled_era`` is the era in which
    the replier may confirm what the store shows, ``UNKNOWN_ERA`` if it may not
    yet; entries of earlier builds send none.
    """

    routes_version: BoundedInt
    routes_age_seconds: Seconds
    list_version: BoundedInt
    list_age_seconds: Seconds
    is_cut: bool
    routes: bytes | None = None
    endpoints: bytes | None = None
    routes_era: Era | None = None
    list_era: Era | None = None
    is_store_behind: bool = False
    evacuations: EvacuatedDomains | None = None
    settled_era: Era | None = None


def digest_of(endpoints: Iterable[ListedEndpoint]) -> int:
    """Return a hash over the names, lifetimes and leaving flags of a list."""
    identities = sorted(
        (each.name, each.lifetime, each.leaving) for each in endpoints
    )
    return xxh32_intdigest(encode(identities))


def pack(content: object) -> bytes:
    """Return a message as compressed JSON."""
    return zlib.compress(encode(content), _COMPRESSION_LEVEL)


def unpack(packed: bytes, kind: type[Content]) -> Result[Content, Failure]:
    """Decode a packed message.

    Content above ``_MAX_CONTENT_BYTES`` is truncated, so its decoding fails.

    >>> unpack(pack([1, 2]), list[int]).ok
    [1, 2]
    """
    try:
        payload = zlib.decompressobj().decompress(packed, _MAX_CONTENT_BYTES)
    except zlib.error as error:
        return Error(may_have_run(Reason.BAD_ANSWER, str(error)))
    return decode(payload, kind)


def unpack_endpoints(
    packed: bytes,
) -> Result[tuple[tuple[ListedEndpoint, ...], tuple[str, ...]], Failure]:
    """Decode a packed endpoint list, each endpoint on its own.

    Returns the endpoints, and what is wrong with those that are left out. A
    peer of an earlier build may list some that can't be used.
    """
    whole = unpack(packed, tuple[ListedEndpoint, ...])
    if whole.is_ok():
        decoded = [Ok(each) for each in whole.ok]
    else:
        parts = unpack(packed, tuple[Raw, ...])
        if parts.is_error():
            return Error(parts.error)
        decoded = [
            decode_json(bytes(each), ListedEndpoint) for each in parts.ok
        ]
    checked = [each.bind(_check_name) for each in decoded]
    endpoints = tuple(each.ok for each in checked if each.is_ok())
    faults = tuple(each.error for each in checked if each.is_error())
    return Ok((endpoints, faults))


def _check_name(endpoint: ListedEndpoint) -> Result[ListedEndpoint, str]:
    """Reject an endpoint whose name can't be sent in a head."""
    if is_header_text(endpoint.name):
        return Ok(endpoint)
    return Error('name can not be sent in a head')
