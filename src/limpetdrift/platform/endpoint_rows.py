"""Reads entries of the platform's list of endpoints.

Any process may have written an entry, so one that can't be read names no
endpoint; the others hold.
"""

import msgspec
from expression import Error, Ok, Result

from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import parse_address

_READY = 'ready'
_DRAINING = 'draining'
_STATES = frozenset((_READY, _DRAINING))


class _Entry(msgspec.Struct, kw_only=True):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # The start of the process, in Unix milliseconds. Its name is kept over
    # restarts, so only both together name one lifetime.
    born: int = 0


def decode_endpoint(name: str, payload: bytes) -> Result[ListedEndpoint, str]:
    """Decode one entry; the error side says why it names no endpoint.

    >>> decode_endpoint('i-1', b'nonsense').is_error()
    True
    """
    try:
        entry = msgspec.json.decode(payload, type=_Entry)
        parse_address(entry.address)
    except (msgspec.DecodeError, ValueError) as error:
        return Error(str(error))
    if entry.state not in _STATES:
        return Error(f'unknown state {entry.state!r}')
    return Ok(
        ListedEndpoint(
            name=name,
            lifetime=entry.born,
            service=entry.service,
            address=entry.address,
            failure_domain=entry.zone,
            slots=entry.slots,
            leaving=entry.state == _DRAINING,
        ),
    )
