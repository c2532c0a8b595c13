"""What an attempt to run work at an endpoint returns.

The adapter to an endpoint's protocol gives the core one function, ``Sending``,
and reads each answer into an ``Answer``.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from limpetdrift.protocol.work import EndpointLoad, Placement, Work
from limpetdrift.transport.messages import Headers


@dataclass(frozen=True, kw_only=True)
class Answer:
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
    misdirected: bool = False
    foreign: bool = False
    framed: bool = True
    at_fault: str = ''
    load: EndpointLoad | None = None


# Arguments are the work, where it goes, the seconds left, and the last event
# of the stream that the caller has. Raises ``FailureError``.
Sending = Callable[
    [Work, Placement, float, int | None],
    AbstractAsyncContextManager[Answer],
]
