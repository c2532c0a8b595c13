"""Tests that endpoints get no more than the rates that they named."""

import pytest

from limit_site import (
    ENGINES_SERVICE,
    PLAIN_SERVICE,
    bound_of,
    open_limit_site,
)
from virtual_time import in_virtual_time


@pytest.mark.parametrize('service', [ENGINES_SERVICE, PLAIN_SERVICE])
@in_virtual_time
async def test_endpoint_gets_no_more_calls_than_its_limit_from_all_entries(
    service,
):
    async with open_limit_site(entries=9) as site:
        await site.offer(service, rate=10, seconds=5)
        limited = max(
            site.of_service(service), key=lambda each: len(each.arrivals)
        )
        limited.limit = 1
        await site.offer(service, rate=10, seconds=20)
        assert limited.told_at
        assert limited.worst_window() <= bound_of(1)
        assert set(site.statuses()) == {200}
