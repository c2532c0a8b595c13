"""What an attempt to run work at an endpoint returns.

The adapter to an endpoint's protocol gives the core one function, ``Sending``,
and reads each answer into an ``Answer``.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from limpetdrift.protocol.work import CallerRequest, DispatchPlan, EndpointLoad
from limpetdrift.transport.messages import Headers


@dataclass(frozen=True, kw_only=True)
class EndpointResponse:
    """The head of an endpoint's answer, and its body as it arrives.

    ``refused`` says that the endpoint states not to have run the request,
    ``misdirected`` that another process has the address, ``foreign`` that the
    answer belongs to another request. ``at_fault`` is the address of another
    endpoint that the refusal is due to. A body that isn't ``framed`` ends
    with its connection.
    """

    status: int
    headers: Headers
    chunks: Callable[[], AsyncIterator[bytes]]
    refused: bool = False
    is_from_other_process: bool = False
    is_for_other_request: bool = False
    framed: bool = True
    failed_address: str = ''
    load: EndpointLoad | None = None


# Arguments are the work, where it goes, the seconds left, and the last event
# of the stream that the caller has. Raises ``FailureError``.
Sending = Callable[
    [CallerRequest, DispatchPlan, float, int | None],
    AbstractAsyncContextManager[EndpointResponse],
]
