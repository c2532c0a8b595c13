"""The response of an endpoint, independent of the endpoint's protocol.

The adapter to a protocol gives the core one function, ``SendRequest``,
which returns each answer as an ``EndpointResponse``.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from limpetdrift.protocol.work import CallerRequest, DispatchPlan, EndpointLoad
from limpetdrift.transport.messages import Headers


@dataclass(frozen=True, kw_only=True)
class EndpointResponse:
    """The head of an endpoint's response, and its body as it arrives.

    ``refused`` means that the endpoint states that it has not run the request,
    ``is_from_other_process`` that another process now has the address, and
    ``is_for_other_request`` that the response answers another request.
    ``failed_address`` is the address of another endpoint that caused the
    refusal. A body that is not ``framed`` ends with its connection. ``load`` is
    the load that the endpoint reports in the response, if any. With
    ``is_failure_of_peer``, no endpoint has answered: the peer that was to pass
    the request on got no answer. ``expect_bytes`` sets how much of the body
    may be read at a time.
    """

    status: int
    headers: Headers
    chunks: Callable[[], AsyncIterator[bytes]]
    refused: bool = False
    is_from_other_process: bool = False
    is_for_other_request: bool = False
    is_failure_of_peer: bool = False
    framed: bool = True
    failed_address: str = ''
    load: EndpointLoad | None = None
    expect_bytes: Callable[[int], None] = lambda length: None


# Sends a request to an endpoint. The arguments are the request, its placement,
# the seconds until its deadline, and the number of the last stream event that
# the caller has. Raises ``FailureError``.
SendRequest = Callable[
    [CallerRequest, DispatchPlan, float, int | None],
    AbstractAsyncContextManager[EndpointResponse],
]
