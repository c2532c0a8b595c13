"""Merges records of endpoints.

A record holds the endpoint's own reports and its state in the instance list.
The two are merged separately, each by its own version, so that neither
overwrites the other.
"""

from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.gossip import EndpointRecord

# Incarnation of an endpoint that hasn't reported any.
UNKNOWN_INCARNATION = 0


def join_endpoints(
    held: EndpointRecord,
    received: EndpointRecord,
) -> EndpointRecord:
    """Merge two records of one endpoint.

    A leaving flag of an unknown incarnation applies to the latest known one.
    """
    listing = max((held, received), key=_list_rank)
    incarnation = max(held.incarnation, received.incarnation)
    applicable = {incarnation, UNKNOWN_INCARNATION}
    return EndpointRecord(
        name=held.name,
        incarnation=incarnation,
        leaving=any(
            record.leaving
            for record in (held, received)
            if record.incarnation in applicable
        ),
        listed=listing.listed,
        list_version=listing.list_version,
        endpoint=listing.endpoint,
    )


def _list_rank(record: EndpointRecord) -> tuple[int, int, bytes]:
    return record.list_version, record.listed, encode(record.endpoint)
