"""Raw bytes of callers on a connection, served straight or by a peer.

What an endpoint gets is what a caller means, at most once. A request in the
body of another one never runs. Plain requests are all answered.
"""

import trio
from hypothesis import strategies as st
from trio.testing import memory_stream_pair

from fuzz.grammar import SentRequest, sent_requests
from limpetdrift.platform.admission import admit
from limpetdrift.platform.carrying import pack_request, unpack_request
from limpetdrift.platform.endpoint_client import _request_headers
from limpetdrift.protocol.work import DispatchPlan
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.server import Exchange, Server
from test_platform_decoders import ENGINE, make_admission
from virtual_time import run_in_virtual_time

KEY = 'k1'
TARGET = '/a/x?q=%20'
SECONDS_LEFT = 4.0
READ_SECONDS = 30.0
PLAN = DispatchPlan(endpoint=ENGINE)
# Up to three requests in a row, and whether a peer carries them.
CONNECTIONS = st.tuples(
    st.tuples(*(sent_requests(each, KEY, TARGET) for each in range(3))),
    st.booleans(),
)


class RecordingEntry:
    """Admits requests, and records those that an endpoint would get."""

    def __init__(self, *, is_carried: bool) -> None:
        self._is_carried = is_carried
        self.runs: list[Request] = []

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        request = exchange.request
        admitted = admit(request, make_admission())
        if self._is_carried and admitted.is_ok():
            request = _unpack(pack_request(admitted.ok, SECONDS_LEFT, None))
            admitted = admit(request, make_admission()) if request else None
        if admitted is None or admitted.is_error():
            await exchange.respond(Response(status=400))
            return
        work = admitted.ok
        self.runs.append(
            Request(
                method=work.method,
                path='',
                target=work.target,
                headers=_request_headers(work, PLAN, SECONDS_LEFT, None),
                body=work.body,
            )
        )
        await exchange.respond(Response(status=200, body=b'answer'))


def check_connection(sent: tuple[SentRequest, ...], is_carried: bool) -> None:
    """Send requests on one connection; raise ``AssertionError`` on a fault."""
    runs, answers = _play(sent, is_carried)
    meant = {each.request_id: each for each in sent}
    seen = set()
    for run in runs:
        ids = [text for name, text in run.headers if name == 'attempt-id']
        assert len(ids) == 1, f'an endpoint got the ids {ids}'
        request = meant.get(ids[0])
        assert request is not None, f'{ids[0]} ran, which no caller sent'
        assert ids[0] not in seen, f'{ids[0]} ran twice'
        seen.add(ids[0])
        assert run.method == request.method, f'{ids[0]} ran by {run.method}'
        assert run.target == request.target, f'{ids[0]} ran at {run.target}'
        assert run.body == request.body, f'{ids[0]} ran with another body'
    assert answers.count(b'HTTP/1.1 200') == len(runs), 'a run has no answer'
    plain = 0
    while plain < len(sent) and sent[plain].is_plain:
        assert sent[plain].request_id in seen, 'a plain request did not run'
        plain += 1


def _play(
    sent: tuple[SentRequest, ...], is_carried: bool
) -> tuple[list[Request], bytes]:
    entry = RecordingEntry(is_carried=is_carried)
    received = []

    async def body() -> None:
        server = Server(handler=entry.handle)
        caller_end, server_end = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.handle_stream, server_end)
            for each in sent:
                try:
                    await caller_end.send_all(each.payload)
                except trio.BrokenResourceError:
                    break
            await caller_end.send_eof()
            with trio.move_on_after(READ_SECONDS):
                async for part in caller_end:
                    received.append(bytes(part))
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    return entry.runs, b''.join(received)


def _unpack(packed: Request) -> Request | None:
    """Return the caller's request; earlier builds return it without more."""
    unpacked = unpack_request(packed)
    if isinstance(unpacked, Request):
        return unpacked
    if unpacked.is_error():
        return None
    found = unpacked.ok
    return found if isinstance(found, Request) else found[0]
