"""Entries that are cut off from the endpoints that other entries reach."""

import pytest
import trio

from cut_site import (
    CONTACT_SECONDS,
    EARLY_SHARE,
    SERVED_SHARE,
    Cut,
    open_cut_site,
)
from virtual_time import in_virtual_time

RATE = 20.0
CUT_SECONDS = 10.0
ENTRIES = 8


async def play_cut(site, numbers, how: Cut) -> float:
    """Cut entries off for a while under load; return when the cut began."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: site.offer_tries(rate=RATE, seconds=CUT_SECONDS + 4)
        )
        await trio.sleep(2)
        began = trio.current_time()
        site.cut(numbers, how)
        await trio.sleep(CUT_SECONDS)
        site.cut((), how)
    await trio.sleep(4)
    return began


@pytest.mark.parametrize('how', Cut)
@pytest.mark.parametrize('count', [1, 3, 6])
@in_virtual_time
async def test_callers_of_entries_cut_off_from_all_endpoints_are_served(
    how, count
):
    async with open_cut_site(entries=ENTRIES) as site:
        began = await play_cut(site, range(count), how)
        bound_at = began + CONTACT_SECONDS
        until = began + CUT_SECONDS
        for is_cut in (True, False):
            share = site.share(is_cut=is_cut, since=bound_at, until=until)
            assert share >= SERVED_SHARE
        early = site.share(is_cut=True, since=began, until=bound_at)
        assert early >= EARLY_SHARE
        after = site.share(is_cut=False, since=until + 1, until=until + 9)
        assert after >= SERVED_SHARE
