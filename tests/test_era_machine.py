"""Entries under random schedules of writes, copies and returns of the store.

The rules of the state machine only record a schedule of steps. It is run in
virtual time at teardown. While it runs, no entry's configuration goes back,
and none is confirmed by a store that shows an older one. At the end, once
everything was written again, all entries agree with the store.
"""

import functools

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from era_site import REVOKE_SECONDS, EraSite
from limpetdrift.platform.endpoint_sync import LAPSE_GRACE_SECONDS
from virtual_time import background_tasks, run_in_virtual_time

ENTRIES = 4
NAMES = st.sampled_from(('a', 'b', 'c'))
ENTRY_NUMBERS = st.integers(0, ENTRIES - 1)
PAUSE_SECONDS = st.sampled_from((0.0, 0.003, 0.05, 0.5, 2.5))
CHECK_SECONDS = 0.05
AGREEMENT_SECONDS = 3 * LAPSE_GRACE_SECONDS


class Writers:
    """The operator and the servers, which write again what the store lost."""

    def __init__(self, site: EraSite) -> None:
        self.site = site
        self.version = 0
        self.key = ''
        self.born: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.lifetimes = 0
        self.contents = 0

    def configure(self, *, is_given_out_again: bool) -> None:
        """Write a version in which only a new key is accepted.

        The operator gives its last version out again, with other content,
        only if the store has lost it.
        """
        stored = self.site.stored_version()
        if not is_given_out_again or stored >= self.version:
            self.version += 1
        self.contents += 1
        self.key = f'key-{self.contents}'
        self.site.write_configuration(self.version, self.key)

    def start(self, name: str) -> None:
        """Start a server, or start it again under its name."""
        self.lifetimes += 1
        self.born[name] = self.lifetimes
        self.leaving.discard(name)
        self.site.write_endpoint(name, born=self.lifetimes)

    def drain(self, name: str) -> None:
        if name in self.born:
            self.leaving.add(name)
            self.write(name)

    def stop(self, name: str) -> None:
        self.born.pop(name, None)
        self.site.drop_endpoint(name)

    def write(self, name: str) -> None:
        state = 'draining' if name in self.leaving else 'ready'
        self.site.write_endpoint(name, born=self.born[name], state=state)

    def write_again(self) -> None:
        """Write all rows that the store should have, and drop the others."""
        self.site.write_configuration(self.version, self.key)
        for name in ('a', 'b', 'c'):
            if name in self.born:
                self.write(name)
            else:
                self.site.drop_endpoint(name)


class ConfirmationCheck:
    """Checks one entry's configuration each time it is called."""

    def __init__(self, entry) -> None:
        self.entry = entry
        self.version = 0
        self.confirmed_at = float('-inf')

    def run(self, latest_shown_at: dict[str, float]) -> None:
        """Check that nothing goes back, or is confirmed unseen.

        A confirmation counts from the start of a read, and no read that starts
        after the store last showed a content may confirm it.
        """
        routes = self.entry.routes
        assert routes.version >= self.version
        self.version = routes.version
        if routes.confirmed_at > self.confirmed_at:
            self.confirmed_at = routes.confirmed_at
            for key in self.entry.keys():
                assert routes.confirmed_at <= latest_shown_at[key]


class EraMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.steps = []

    @initialize()
    def first_rows(self):
        self.configure(is_given_out_again=False)
        self.start('a')
        self.take_copy()
        self.sleep(0.5)

    @rule(seconds=PAUSE_SECONDS)
    def sleep(self, seconds):
        async def step(run):
            await trio.sleep(seconds)

        self.steps.append(step)

    @rule(is_given_out_again=st.booleans())
    def configure(self, is_given_out_again):
        self.add(
            lambda run: run.writers.configure(
                is_given_out_again=is_given_out_again
            )
        )

    @rule(name=NAMES)
    def start(self, name):
        self.add(lambda run: run.writers.start(name))

    @rule(name=NAMES)
    def drain(self, name):
        self.add(lambda run: run.writers.drain(name))

    @rule(name=NAMES)
    def stop(self, name):
        self.add(lambda run: run.writers.stop(name))

    @rule()
    def write_again(self):
        self.add(lambda run: run.writers.write_again())

    @rule()
    def take_copy(self):
        self.add(lambda run: run.take_copy())

    @rule(away=st.sampled_from((0.0, 0.3, 1.5)))
    def restore(self, away):
        async def step(run):
            run.record_shown()
            await run.site.store.restore(run.copy, away_seconds=away)
            run.record_shown()

        self.steps.append(step)

    @rule(number=ENTRY_NUMBERS, name=NAMES, seconds=PAUSE_SECONDS)
    def lose_changes(self, number, name, seconds):
        """Lose a configuration and a server that one entry doesn't know."""
        self.take_copy()
        self.cut_from_store(number)
        self.configure(is_given_out_again=False)
        self.start(name)
        self.sleep(seconds)
        self.restore(0.3)
        self.reach_store(number)
        self.sleep(2.5)

    @rule(number=ENTRY_NUMBERS)
    def cut_from_store(self, number):
        self.add(lambda run: run.set_cut(number, is_cut=True))

    @rule(number=ENTRY_NUMBERS)
    def reach_store(self, number):
        self.add(lambda run: run.set_cut(number, is_cut=False))

    @rule()
    def truncate(self):
        self.add(lambda run: run.site.store.truncate_changelog())

    def add(self, action):
        async def step(run):
            run.record_shown()
            action(run)
            run.record_shown()
            await trio.lowlevel.checkpoint()

        self.steps.append(step)

    def teardown(self):
        run_in_virtual_time(functools.partial(run_schedule, self.steps))


class ScheduleRun:
    """A site under a schedule, with the checks that run beside it."""

    def __init__(self) -> None:
        self.site = EraSite(ENTRIES)
        self.writers = Writers(self.site)
        self.copy = self.site.store.rows.take_copy()
        # When the store last showed each content of the configuration.
        self.shown_at: dict[str, float] = {}

    def take_copy(self):
        self.copy = self.site.store.rows.take_copy()

    def set_cut(self, number, *, is_cut):
        self.site.entries[number].client.is_cut = is_cut

    def record_shown(self):
        self.shown_at[self.site.stored_key()] = trio.current_time()

    async def check_always(self):
        checks = [ConfirmationCheck(entry) for entry in self.site.entries]
        while True:
            self.record_shown()
            for check in checks:
                check.run(self.shown_at)
            await trio.sleep(CHECK_SECONDS)


async def run_schedule(steps):
    run = ScheduleRun()
    async with background_tasks(run.site):
        if steps:
            await steps[0](run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.check_always)
            for step in steps[1:]:
                await step(run)
            for number in range(ENTRIES):
                run.set_cut(number, is_cut=False)
            run.record_shown()
            run.writers.write_again()
            await trio.sleep(AGREEMENT_SECONDS)
            nursery.cancel_scope.cancel()
        check_agreement(run)


def check_agreement(run):
    usable = sorted(set(run.writers.born) - run.writers.leaving)
    for entry in run.site.entries:
        assert entry.keys() == {run.writers.key}
        assert entry.routes.age_seconds() < REVOKE_SECONDS
        assert entry.usable() == usable
        for each in entry.view.listed:
            assert each.lifetime == run.writers.born[each.name]


EraMachine.TestCase.settings = settings(
    max_examples=20, stateful_step_count=25, deadline=None
)
TestEras = EraMachine.TestCase
