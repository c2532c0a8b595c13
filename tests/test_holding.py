"""Documents that arrive in any order, late, and more than once."""

import functools

from hypothesis import given
from hypothesis import strategies as st

from config_texts import base, change, overlay
from fake_table import FakeTable
from limpetdrift.state.applying import apply_change
from limpetdrift.state.configuration import read_snapshot
from limpetdrift.state.configuration_replica import ConfigurationReplica
from virtual_time import run_in_virtual_time

KINDS = st.sampled_from(('base', 'a', 'b'))


async def make_history(kinds):
    """Apply changes; return all documents ever, and each moment's versions."""
    calls = FakeTable().calls()
    first = change('0', base(), overlay('a'), overlay('b'))
    assert (await apply_change(calls, first)).is_ok()
    documents, moments = [], set()
    for number, kind in enumerate((None, *kinds)):
        if kind is not None:
            changed = base(number) if kind == 'base' else overlay(kind, number)
            applied = await apply_change(calls, change(f'c{number}', changed))
            assert applied.is_ok()
        snapshot = (await read_snapshot(calls)).ok
        documents.extend(snapshot.documents.values())
        for site in 'ab':
            versions = snapshot.versions
            pair = (versions['base'], versions[f'site/{site}'])
            moments.add((site, *pair))
    return documents, moments


@given(st.lists(KINDS, max_size=6), st.data())
def test_only_pairs_that_were_in_the_store_come_in_force(kinds, data):
    history = run_in_virtual_time(functools.partial(make_history, kinds))
    documents, moments = history
    order = data.draw(
        st.lists(st.sampled_from(documents), max_size=20),
        label='arrivals',
    )
    held = ConfigurationReplica()
    before = {}
    for document in order:
        held.apply_newer((document,))
        for site in held.sites:
            pair = (site.base, site.overlay)
            assert (site.site, *pair) in moments
            last = before.get(site.site, (0, 0))
            assert pair[0] >= last[0]
            assert pair[1] >= last[1]
            before[site.site] = pair
    held.apply_newer(tuple(documents))
    assert not held.awaits_requirements
    assert len(held.sites) == 2
