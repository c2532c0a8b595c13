"""The attempts of a request count wherever they are made."""

import random
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio

from cut_site import Cut, CutClient, CutSite
from forward_harness import (
    BROKEN,
    FakeExchange,
    ForwardHarness,
    make_route,
    whole_response,
)
from limit_site import ENGINES_SERVICE, PLAIN_SERVICE
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.verdict import FailureError, Reason, may_have_run
from virtual_time import background_tasks, in_virtual_time

JOIN_SECONDS = 3.0
REQUESTS = 60
PAUSE_SECONDS = 0.1
ATTEMPT_LIMIT = 2
# Share of two attempts of which each is lost with a probability of one half,
# with a margin for the number of requests.
SERVED_SHARE = 0.6


class LossyClient(CutClient):
    """Loses half of the answers of endpoints, and records what they got."""

    @asynccontextmanager
    async def stream(self, address, request, **options: object):
        await self.connect(address)
        headers = dict(request.headers)
        name = headers.get('attempt-id')
        self._site.sent.setdefault(name, []).append(str(address))
        is_lost = self._site.randomness.random() < 0.5
        if is_lost and self._site.is_silent:
            await trio.sleep_forever()
        if is_lost:
            raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, 'lost'))
        async with super().stream(address, request, **options) as opened:
            yield opened


class LossySite(CutSite):
    """A site whose endpoints answer half of the requests.

    ``sent`` holds the endpoints that got each request. Those that don't answer
    break the connection, or say nothing if ``is_silent``.
    """

    def __init__(self, *, entries: int, is_silent: bool) -> None:
        super().__init__(entries=entries)
        self.sent: dict[str, list[str]] = {}
        self.is_silent = is_silent
        self.randomness = random.Random(6)

    def make_client(self, entry: str) -> LossyClient:
        """Return the client for an entry's calls to endpoints."""
        return LossyClient(self, entry)


@pytest.mark.parametrize('is_silent', [False, True])
@pytest.mark.parametrize('service', [PLAIN_SERVICE, ENGINES_SERVICE])
@pytest.mark.parametrize('entries', [2, 4])
@in_virtual_time
async def test_carried_request_reaches_no_more_endpoints_than_its_route_allows(
    entries, service, is_silent
):
    """Guards against a peer that counts the attempts of others from zero."""
    site = LossySite(entries=entries, is_silent=is_silent)
    async with background_tasks(site):
        await trio.sleep(JOIN_SECONDS)
        site.cut((0,), Cut.HANG)
        async with trio.open_nursery() as nursery:
            for _ in range(REQUESTS):
                nursery.start_soon(site.try_once, 0, service)
                await trio.sleep(PAUSE_SECONDS)
    carried = site.tries[-REQUESTS:]
    assert max(map(len, site.sent.values())) <= ATTEMPT_LIMIT
    late = [each for each in carried if each.at >= JOIN_SECONDS + 1]
    served = sum(each.is_served for each in late) / len(late)
    assert served >= SERVED_SHARE


@in_virtual_time
async def test_failure_of_a_peer_is_not_passed_on_as_an_endpoints():
    failed = replace(whole_response(502), is_failure_of_peer=True)
    route = make_route(kind=RequestKind.IDEMPOTENT)
    harness = ForwardHarness(failed, whole_response(200))
    exchange = FakeExchange()
    await harness.serve(route, exchange)
    assert exchange.response.status == 200
    alone = ForwardHarness(failed)
    exchange = FakeExchange()
    await alone.serve(replace(route, attempt_limit=1), exchange)
    assert exchange.response.body == b'peer-failed'


@in_virtual_time
async def test_attempts_of_the_entry_before_count():
    harness = ForwardHarness(BROKEN, whole_response(200))
    route = make_route(kind=RequestKind.IDEMPOTENT, attempt_limit=2)
    exchange = FakeExchange()
    await harness.serve(route, exchange, prior_attempts=1)
    assert exchange.response.status == 502
    assert len(harness.sent) == 1
