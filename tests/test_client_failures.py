"""The client library when a stream fails after its response head."""

from contextlib import asynccontextmanager

from expression import Error

from limpetdrift.callers.answers import KEEPALIVE_EVENT, failure_event
from limpetdrift.client import Call, Client
from limpetdrift.protocol.openai import ChatMessage
from limpetdrift.transport.messages import OK, parse_address
from limpetdrift.verdict import Reason, Verdict, not_run
from virtual_time import in_virtual_time

CALL = Call(
    model='m',
    messages=(ChatMessage(role='user', content='x'),),
    most_sends=1,
)


class FakeStream:
    status = OK
    headers = (('x-limpet-stream', 'entry-1~1~a'),)

    def __init__(self, body):
        self.body = body

    async def lines(self):
        for line in self.body.split(b'\n'):
            yield line


class FakeHttp:
    def __init__(self, body):
        self.body = body

    async def fetch(self, address, request, *, timeout_seconds):
        return Error(not_run(Reason.NOT_FOUND))

    @asynccontextmanager
    async def stream(self, address, request, **options):
        yield FakeStream(self.body)


@in_virtual_time
async def test_failure_event_gives_reason_verdict_and_retry_time():
    failure = not_run(Reason.OVERLOADED, 'busy', retry_after_seconds=2.0)
    client = Client(
        seeds=(parse_address('127.0.0.1:1'),),
        key='k',
        http=FakeHttp(KEEPALIVE_EVENT + failure_event(failure)),
    )
    outcome = await client.complete(CALL)
    assert outcome.error.reason is Reason.OVERLOADED
    assert outcome.error.verdict is Verdict.NOT_RUN
    assert outcome.error.retry_after_seconds == 2.0
