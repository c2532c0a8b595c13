"""Decodes what endpoints signal about themselves in the headers of answers."""

from limpetdrift.coordination.endpoint_gate import EndpointSignals
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.messages import Headers

MISDIRECTED = 421
LEAVING_HEADER = 'server-leaving'
INSTANCE_HEADER = 'instance-id'
_SET = '1'


def decode_signals(
    endpoint: ListedEndpoint, status: int, headers: Headers
) -> EndpointSignals:
    """Decode the signals in an answer to a request sent to ``endpoint``.

    An answer of another process at its address signals nothing about it.
    """
    by_name = dict(headers)
    instance = by_name.get(INSTANCE_HEADER, endpoint.name)
    if status == MISDIRECTED or instance != endpoint.name:
        return EndpointSignals()
    return EndpointSignals(
        leaving=by_name.get(LEAVING_HEADER, '').strip() == _SET,
    )
