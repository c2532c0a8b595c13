"""How records of endpoints merge.

The part that follows the endpoint itself and the part that follows the
instance list are merged each by its own version, so that neither can undo
what the other says.
"""

from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.gossip import EndpointRecord

UNKNOWN_INCARNATION = 0


def join_endpoints(
    held: EndpointRecord,
    given: EndpointRecord,
) -> EndpointRecord:
    """Merge two records of one endpoint.

    A leaving sign whose incarnation is unknown counts for the one that is
    known.
    """
    listing = max((held, given), key=_list_rank)
    incarnation = max(held.incarnation, given.incarnation)
    counted = {incarnation, UNKNOWN_INCARNATION}
    return EndpointRecord(
        name=held.name,
        incarnation=incarnation,
        leaving=any(
            each.leaving
            for each in (held, given)
            if each.incarnation in counted
        ),
        listed=listing.listed,
        list_version=listing.list_version,
        endpoint=listing.endpoint,
    )


def _list_rank(record: EndpointRecord) -> tuple[int, int, bytes]:
    return record.list_version, record.listed, encode(record.endpoint)
