"""Configuration under random schedules of faults and changes.

The rules of the state machine only record a schedule of steps. It is run in
virtual time at teardown, while ``config_cluster`` checks the invariants: no
version in force decreases, no entry holds a rejected change, and each entry
that admits has an accepted change in force after a few seconds.
"""

import functools

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from config_cluster import run_cluster
from config_texts import base, change, overlay
from virtual_time import run_in_virtual_time

CLUSTER_SIZE = 5
CONVERGENCE_SECONDS = 12
ENTRY_NUMBERS = st.integers(0, CLUSTER_SIZE - 1)
PAUSE_SECONDS = st.sampled_from((0.0, 0.003, 0.05, 1.0, 3.0, 7.0))


def entry_of(cluster, number):
    names = sorted(cluster.entries)
    return cluster.entries[names[number % len(names)]]


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.steps = []
        self.changes = 0
        self.started = CLUSTER_SIZE

    @initialize()
    def first_configuration(self):
        self.add_change(0, base(), overlay('a'), overlay('b'))
        self.sleep(1.0)

    @rule(seconds=PAUSE_SECONDS)
    def sleep(self, seconds):
        async def step(cluster):
            await trio.sleep(seconds)

        self.steps.append(step)

    @rule(
        number=ENTRY_NUMBERS,
        site=st.sampled_from('ab'),
        pinned=st.booleans(),
    )
    def change_site(self, number, site, pinned):
        self.add_change(number, overlay(site, self.changes + 1), pinned=pinned)

    @rule(number=ENTRY_NUMBERS, valid=st.booleans())
    def change_base(self, number, valid):
        models = ('small',) if valid else ('large',)
        self.add_change(number, base(self.changes + 1, models=models))

    @rule(lost=st.integers(1, 3))
    def lose_answers(self, lost):
        self.add_step(
            lambda cluster: set_table_fault(cluster, 'lose_answers', lost)
        )

    @rule(lost=st.integers(1, 3))
    def lose_requests(self, lost):
        self.add_step(
            lambda cluster: set_table_fault(cluster, 'lose_requests', lost)
        )

    @rule(down=st.booleans())
    def store_down_or_up(self, down):
        self.add_step(lambda cluster: set_table_fault(cluster, 'down', down))

    @rule(stale=st.booleans())
    def stale_reads(self, stale):
        self.add_step(
            lambda cluster: (
                cluster.table.freeze_reads()
                if stale
                else cluster.table.thaw_reads()
            )
        )

    @rule(down=st.booleans())
    def list_down_or_up(self, down):
        self.add_step(lambda cluster: setattr(cluster, 'list_down', down))

    @rule(number=ENTRY_NUMBERS)
    def freeze(self, number):
        self.add_step(lambda cluster: cluster.freeze(entry_of(cluster, number)))

    @rule(number=ENTRY_NUMBERS)
    def thaw(self, number):
        self.add_step(lambda cluster: cluster.thaw(entry_of(cluster, number)))

    @rule(number=ENTRY_NUMBERS, store_down=st.booleans())
    def wake_after_a_change(self, number, store_down):
        """Freeze an entry during a change and check it right after it thaws."""
        frozen = []

        def freeze(cluster):
            frozen.append(entry_of(cluster, number))
            cluster.freeze(frozen[0])

        def thaw(cluster):
            if store_down:
                cluster.table.down = True
            cluster.thaw(frozen[0])
            cluster.check()

        self.add_step(freeze)
        self.add_change(number + 1, overlay('a', self.changes + 1))
        self.sleep(7.0)
        self.add_step(thaw)

    @rule(number=ENTRY_NUMBERS)
    def partition_from_store(self, number):
        self.add_step(
            lambda cluster: setattr(
                entry_of(cluster, number), 'store_cut', True
            )
        )

    @rule(number=ENTRY_NUMBERS)
    def isolate(self, number):
        self.add_step(
            lambda cluster: isolate_only(cluster, entry_of(cluster, number))
        )

    @rule()
    def heal(self):
        self.add_step(lambda cluster: cluster.heal())

    @rule(number=ENTRY_NUMBERS)
    def replace_entry(self, number):
        self.started += 1
        started = self.started
        self.add_step(lambda cluster: replace(cluster, number, started))

    def add_step(self, action):
        async def step(cluster):
            action(cluster)
            await trio.lowlevel.checkpoint()

        self.steps.append(step)

    def add_change(self, number, *documents, pinned=False):
        self.changes += 1
        new_change = change(f'change-{self.changes}', *documents)

        async def step(cluster):
            entry = entry_of(cluster, number)
            sent = pin_versions(entry, new_change) if pinned else new_change
            entry.nursery.start_soon(cluster.apply, entry, sent)

        self.steps.append(step)

    def teardown(self):
        run_in_virtual_time(
            functools.partial(run_cluster, CLUSTER_SIZE, self.scenario)
        )

    async def scenario(self, cluster):
        for step in self.steps:
            await step(cluster)
        await trio.sleep(CONVERGENCE_SECONDS)
        for entry in list(cluster.entries.values()):
            cluster.thaw(entry)
        cluster.heal()
        cluster.table.down = False
        cluster.table.thaw_reads()
        cluster.list_down = False
        await trio.sleep(CONVERGENCE_SECONDS)
        check_final_state(cluster)


def set_table_fault(cluster, fault, count):
    setattr(cluster.table, fault, count)


def pin_versions(entry, new_change):
    versions = entry.manager.replica.versions
    expected = {
        each.name: versions.get(each.name, 0) for each in new_change.documents
    }
    return change_with(new_change, expected)


def change_with(new_change, expected):
    return type(new_change)(
        change_id=new_change.change_id,
        documents=new_change.documents,
        expected=expected,
    )


def isolate_only(cluster, entry):
    """Isolate at most one entry, so that the others stay the majority."""
    if not any(each.isolated for each in cluster.entries.values()):
        cluster.isolate(entry)


def replace(cluster, number, started):
    cluster.kill(entry_of(cluster, number))
    cluster.start(started)


def check_final_state(cluster):
    """Check the state after all faults have ended.

    Every entry admits and holds the stored versions. The stored histories
    have all accepted changes and no rejected one.
    """
    for entry in cluster.entries.values():
        assert entry.admits, entry.node.name
        assert entry.manager.replica.versions == stored_versions(cluster)
    ids = {
        record['change_id']
        for (_, key), (_, row) in cluster.table.rows.items()
        if key.startswith('document/')
        for record in row['history']
    }
    assert not ids & cluster.rejected
    accepted = {
        change_id
        for change_id, outcome in cluster.outcomes.items()
        if outcome.is_ok() and outcome.ok.changed
    }
    assert accepted <= ids


def stored_versions(cluster):
    return {
        key.removeprefix('document/'): version
        for (_, key), (version, _) in cluster.table.rows.items()
        if key.startswith('document/')
    }


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=30,
    stateful_step_count=20,
)
