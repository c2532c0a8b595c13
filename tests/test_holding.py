"""The configuration replica with documents in any order and repeated.

Guards against merging a base and an overlay that never were in the store
together, and against going back to an older version.
"""

import functools

from hypothesis import given
from hypothesis import strategies as st

from config_texts import base, change, overlay
from fake_table import FakeTable
from limpetdrift.state.applying import apply_change
from limpetdrift.state.configuration import read_snapshot
from limpetdrift.state.configuration_replica import ConfigurationReplica
from virtual_time import run_in_virtual_time

CHANGED_DOCUMENTS = st.sampled_from(('base', 'a', 'b'))


async def make_history(changed_names):
    """Apply changes of the given documents one after the other.

    Return all versions of the documents, and each site with the pair of base
    and overlay versions that the store had after each change.
    """
    calls = FakeTable().calls()
    first = change('0', base(), overlay('a'), overlay('b'))
    assert (await apply_change(calls, first)).is_ok()
    documents, stored_pairs = [], set()
    for number, name in enumerate((None, *changed_names)):
        if name is not None:
            changed = base(number) if name == 'base' else overlay(name, number)
            applied = await apply_change(calls, change(f'c{number}', changed))
            assert applied.is_ok()
        snapshot = (await read_snapshot(calls)).ok
        documents.extend(snapshot.documents.values())
        for site in 'ab':
            versions = snapshot.versions
            pair = (versions['base'], versions[f'site/{site}'])
            stored_pairs.add((site, *pair))
    return documents, stored_pairs


@given(st.lists(CHANGED_DOCUMENTS, max_size=6), st.data())
def test_only_version_pairs_that_the_store_had_come_into_force(
    changed_names, data
):
    history = run_in_virtual_time(
        functools.partial(make_history, changed_names)
    )
    documents, stored_pairs = history
    arrivals = data.draw(
        st.lists(st.sampled_from(documents), max_size=20),
        label='arrivals',
    )
    replica = ConfigurationReplica()
    last_pairs = {}
    for document in arrivals:
        replica.apply_newer((document,))
        for site in replica.sites:
            pair = (site.base, site.overlay)
            assert (site.site, *pair) in stored_pairs
            last = last_pairs.get(site.site, (0, 0))
            assert pair[0] >= last[0]
            assert pair[1] >= last[1]
            last_pairs[site.site] = pair
    replica.apply_newer(tuple(documents))
    assert not replica.awaits_requirements
    assert len(replica.sites) == 2
