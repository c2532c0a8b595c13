"""Discovery of entries by the client library."""

import random

from expression import Result

from limpetdrift.client import Client
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import parse_address
from limpetdrift.verdict import Reason, not_run
from virtual_time import in_virtual_time

SEEDS = tuple(parse_address(f'127.0.0.1:{port}') for port in (1, 2, 3))
OTHER = parse_address('127.0.0.1:4')


class FakeHttp:
    """Answers discovery calls; without an answer, fails to connect."""

    def __init__(self, answer=None):
        self.answer = answer
        self.called = []

    async def fetch(self, address, request, *, timeout_seconds):
        self.called.append(address)
        if self.answer is None:
            return Result.Error(not_run(Reason.CONNECT_FAILED))
        return Result.Ok(json_response(self.answer))


def make_client(http):
    return Client(
        seeds=SEEDS,
        key='k',
        random_source=random.Random(1),
        http=http,
    )


@in_virtual_time
async def test_alternative_named_by_a_failure_is_added_to_seeds():
    client = make_client(FakeHttp())
    client._add_alternatives(
        not_run(Reason.DRAINING, alternatives=(str(OTHER),)),
    )
    assert set(await client.entries()) == {*SEEDS, OTHER}


@in_virtual_time
async def test_discovery_answer_is_reused_within_its_max_age():
    answer = {'entries': [{'address': str(OTHER)}], 'max_age_seconds': 10.0}
    http = FakeHttp(answer)
    client = make_client(http)
    assert await client.entries() == (OTHER,)
    assert await client.entries() == (OTHER,)
    assert len(http.called) == 1
