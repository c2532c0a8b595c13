"""Which entries the client library uses."""

import random

from expression import Result

from limpetdrift.client import Client
from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.verdict import Reason, not_run
from limpetdrift.transport.messages import parse_address
from virtual_time import in_virtual_time

SEEDS = tuple(parse_address(f'127.0.0.1:{port}') for port in (1, 2, 3))
OTHER = parse_address('127.0.0.1:4')


class Discovery:
    """Answers discovery calls, or refuses them all."""

    def __init__(self, answer=None):
        self.answer = answer
        self.asked = []

    async def fetch(self, address, request, *, timeout_seconds):
        self.asked.append(address)
        if self.answer is None:
            return Result.Error(not_run(Reason.CONNECT_FAILED))
        return Result.Ok(json_response(self.answer))


def make_client(discovery):
    return Client(
        seeds=SEEDS,
        key='k',
        random_source=random.Random(1),
        http=discovery,
    )


@in_virtual_time
async def test_an_alternative_does_not_push_out_the_seeds():
    client = make_client(Discovery())
    client._add_alternatives(
        not_run(Reason.DRAINING, alternatives=(str(OTHER),)),
    )
    assert set(await client.entries()) == {*SEEDS, OTHER}


@in_virtual_time
async def test_a_discovery_answer_is_kept_for_its_age():
    answer = {'entries': [{'address': str(OTHER)}], 'max_age_seconds': 10.0}
    discovery = Discovery(answer)
    client = make_client(discovery)
    assert await client.entries() == (OTHER,)
    assert await client.entries() == (OTHER,)
    assert len(discovery.asked) == 1
