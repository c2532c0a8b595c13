"""Configuration on entries: start, wake-up, partitions, outages, idle cost."""

import trio

from config_cluster import run_cluster
from config_texts import base, change, overlay
from limpetdrift.verdict import Reason, Verdict
from virtual_time import in_virtual_time


async def apply_first_change(cluster):
    entry = next(iter(cluster.entries.values()))
    await cluster.apply(entry, change('first', base(), overlay('a')))
    await trio.sleep(1)


def admitting_entries(cluster):
    return sorted(
        name for name, entry in cluster.entries.items() if entry.admits
    )


def brands(cluster):
    return {entry.manager.site('a').brand for entry in cluster.entries.values()}


@in_virtual_time
async def test_entries_refuse_requests_until_there_is_a_configuration():
    async def scenario(cluster):
        await trio.sleep(3)
        assert admitting_entries(cluster) == []
        refused = cluster.entries['entry-0'].manager.check_admission().error
        assert refused.verdict is Verdict.NOT_RUN
        assert refused.reason is Reason.UNCONFIRMED
        await apply_first_change(cluster)
        assert len(admitting_entries(cluster)) == 3

    await run_cluster(3, scenario)


@in_virtual_time
async def test_an_accepted_change_is_in_force_on_all_entries_at_once():
    async def scenario(cluster):
        await apply_first_change(cluster)
        entry = cluster.entries['entry-4']
        started = trio.current_time()
        await cluster.apply(entry, change('x', overlay('a', 7)))
        assert trio.current_time() - started < 0.1
        assert brands(cluster) == {'a 7'}

    await run_cluster(6, scenario)


@in_virtual_time
async def test_a_change_whose_writer_dies_is_found_by_polling_the_store():
    async def scenario(cluster):
        await apply_first_change(cluster)
        writer = cluster.entries['entry-4']
        cluster.network.cut(
            writer.node.peer_address,
            cluster.entries['entry-0'].node.peer_address,
        )
        cluster.network.isolate(writer.node.peer_address)
        cluster.nursery.start_soon(
            cluster.apply, writer, change('x', overlay('a', 7))
        )
        await trio.sleep(0.02)
        cluster.kill(writer)
        await trio.sleep(4)
        assert brands(cluster) == {'a 7'}

    await run_cluster(6, scenario)


@in_virtual_time
async def test_entries_admit_during_a_long_store_outage():
    async def scenario(cluster):
        await apply_first_change(cluster)
        cluster.table.down = True
        cluster.list_down = True
        await trio.sleep(600)
        assert len(admitting_entries(cluster)) == 4

    await run_cluster(4, scenario)


@in_virtual_time
async def test_an_entry_started_in_a_store_outage_takes_its_peers_versions():
    async def scenario(cluster):
        await apply_first_change(cluster)
        cluster.table.down = True
        late = cluster.start(9)
        await trio.sleep(2)
        assert late.admits
        assert late.manager.site('a').brand == 'a 0'

    await run_cluster(3, scenario)


@in_virtual_time
async def test_the_last_live_entry_admits_without_peers_and_store():
    async def scenario(cluster):
        await apply_first_change(cluster)
        cluster.table.down = True
        cluster.list_down = True
        for name in ('entry-1', 'entry-2', 'entry-3'):
            cluster.kill(cluster.entries[name])
        last = cluster.entries['entry-0']
        await trio.sleep(30)
        assert last.admits
        cluster.freeze(last)
        await trio.sleep(10)
        cluster.thaw(last)
        await trio.sleep(2)
        assert last.admits

    await run_cluster(4, scenario)


@in_virtual_time
async def test_an_isolated_entry_refuses_and_names_alternatives():
    async def scenario(cluster):
        await apply_first_change(cluster)
        entry = cluster.entries['entry-2']
        cluster.isolate(entry)
        await trio.sleep(5)
        refused = entry.manager.check_admission().error
        assert refused.verdict is Verdict.NOT_RUN
        assert refused.reason is Reason.PARTITIONED
        assert len(refused.alternatives) == 3
        await cluster.apply(
            cluster.entries['entry-0'], change('x', overlay('a', 3))
        )
        await trio.sleep(10)
        cluster.heal()
        await trio.sleep(3)
        assert entry.admits
        assert brands(cluster) == {'a 3'}

    await run_cluster(5, scenario)


@in_virtual_time
async def test_an_entry_partitioned_from_its_peers_admits_by_polling_store():
    async def scenario(cluster):
        await apply_first_change(cluster)
        entry = cluster.entries['entry-3']
        cluster.list_down = True
        cluster.network.isolate(entry.node.peer_address)
        for other in cluster.entries.values():
            if other is not entry:
                entry.reaches = lambda _: False
        await trio.sleep(10)
        assert entry.admits
        await cluster.apply(
            cluster.entries['entry-0'], change('x', overlay('a', 3))
        )
        await trio.sleep(5)
        assert entry.manager.site('a').brand == 'a 3'
        assert entry.admits

    await run_cluster(5, scenario)


@in_virtual_time
async def test_a_thawed_entry_refuses_until_its_configuration_is_confirmed():
    async def scenario(cluster):
        await apply_first_change(cluster)
        entry = cluster.entries['entry-3']
        cluster.freeze(entry)
        await cluster.apply(
            cluster.entries['entry-0'], change('x', overlay('a', 3))
        )
        await trio.sleep(10)
        cluster.table.down = True
        cluster.thaw(entry)
        refused = entry.manager.check_admission().error
        assert refused.reason is Reason.UNCONFIRMED
        await trio.sleep(2)
        assert entry.admits
        assert entry.manager.site('a').brand == 'a 3'

    await run_cluster(5, scenario)


@in_virtual_time
async def test_an_entry_started_alone_refuses_while_store_reads_are_stale():
    async def scenario(cluster):
        await apply_first_change(cluster)
        cluster.table.freeze_reads()
        entry = cluster.entries['entry-0']
        newer = change('x', overlay('a', 3))
        await cluster.apply(entry, newer)
        assert cluster.outcomes['x'].is_ok()
        for other in list(cluster.entries.values()):
            cluster.kill(other)
        alone = cluster.start(9)
        await trio.sleep(5)
        assert not alone.admits
        cluster.table.thaw_reads()
        await trio.sleep(2)
        assert alone.admits
        assert alone.manager.site('a').brand == 'a 3'

    await run_cluster(3, scenario)


@in_virtual_time
async def test_idle_entries_make_few_store_calls_and_send_few_messages():
    async def scenario(cluster):
        await apply_first_change(cluster)
        await trio.sleep(10)
        reads, writes = cluster.table.reads, cluster.table.writes
        messages = cluster.network.messages
        await trio.sleep(100)
        assert cluster.table.writes == writes
        assert (cluster.table.reads - reads) / 100 <= 1.2
        assert (cluster.network.messages - messages) / 100 / 9 <= 5

    await run_cluster(9, scenario)
