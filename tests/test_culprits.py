"""Which keys are refused or suspected by the crashes they took part in."""

from hypothesis import given, settings
from hypothesis import strategies as st

from limpetdrift.protocol.crashes import CutAttempt
from limpetdrift.state.crash_evidence import (
    CRASH_SECONDS,
    MAX_CUT_ATTEMPTS,
    MAX_HARMLESS_KEYS,
    CrashEvidence,
)
from limpetdrift.state.culprits import Crash, assess

NOTHING = frozenset()


def crash(at: float, *key_sets: str, account: str = 'acme') -> Crash:
    """Return a crash; each set of keys is a string of their letters."""
    return Crash(
        at=at,
        suspects=tuple((account, frozenset(keys)) for keys in key_sets),
    )


def culprit_keys(crashes) -> list[set[str]]:
    return [set(each.keys) for each in assess(crashes, NOTHING).culprits]


def suspected(crashes, trusted: str = '') -> set[str]:
    found = assess(crashes, frozenset(trusted)).suspicions
    return {each.key for each in found}


def test_key_of_three_crashes_is_refused_if_it_was_alone_once():
    crashes = [crash(1, 'xa'), crash(2, 'xb', 'c'), crash(3, 'xd', 'e')]
    assert culprit_keys(crashes) == [{'x'}]
    assert not culprit_keys(crashes[1:])


def test_key_that_was_never_alone_is_refused_after_five_crashes():
    crashes = [crash(at, 'x', 'ab'[at % 2]) for at in range(5)]
    assert not culprit_keys(crashes[:4])
    assert culprit_keys(crashes) == [{'x'}]


def test_crashes_at_one_moment_count_once():
    crashes = [crash(1 + number / 1000, 'x') for number in range(9)]
    assert not culprit_keys(crashes)


def test_keys_that_always_came_together_are_refused_together_only():
    crashes = [crash(at, 'xy') for at in range(3)]
    found = assess(crashes, NOTHING)
    assert found.find_culprit('acme', ('x', 'y'))
    assert not found.find_culprit('acme', ('x',))
    assert found.suspected_keys('acme', ('x',)) == ('x',)


def test_culprit_explains_the_crashes_of_keys_beside_it():
    crashes = [crash(at, 'xr', 's') for at in range(6)] + [crash(9, 'x')]
    assert culprit_keys(crashes) == [{'x'}]
    assert not suspected(crashes)


def test_two_culprits_are_both_found():
    crashes = [crash(at, 'x') for at in range(3)]
    crashes += [crash(at + 0.5, 'y') for at in range(3)]
    assert sorted(map(sorted, culprit_keys(crashes))) == [['x'], ['y']]


def test_key_that_was_harmless_is_suspected_at_its_second_crash():
    assert not suspected([crash(1, 'x')], trusted='x')
    assert suspected([crash(1, 'x')]) == {'x'}
    assert suspected([crash(1, 'x'), crash(2, 'x')], trusted='x') == {'x'}


def test_crashes_of_one_account_refuse_nothing_to_another():
    mine = [crash(at, 'x') for at in range(3)]
    assert not assess(mine, NOTHING).find_culprit('other', ('x',))
    both = [*mine, crash(4, 'x', account='other')]
    assert assess(both, NOTHING).find_culprit('third', ('x',))


def make_evidence(now: list[float]) -> CrashEvidence:
    return CrashEvidence(clock=lambda: now[0])


def make_cut(number: int, key: str, age: float = 0.0) -> CutAttempt:
    return CutAttempt(
        endpoint=f'e{number}',
        attempt='a',
        account='acme',
        keys=(key,),
        age_seconds=age,
    )


def test_answer_clears_a_key_until_the_next_crash():
    now = [0.0]
    evidence = make_evidence(now)
    for number in range(3):
        now[0] = float(number)
        evidence.add_cut(make_cut(number, 'x'))
    assert evidence.assessment().culprits
    now[0] = 4.0
    evidence.add_harmless(('x',), now[0])
    assert not evidence.assessment().culprits
    assert not evidence.assessment().suspicions


def test_crashes_are_forgotten_after_a_time():
    now = [0.0]
    evidence = make_evidence(now)
    for number in range(3):
        now[0] = float(number)
        evidence.add_cut(make_cut(number, 'x'))
    now[0] += CRASH_SECONDS
    assert not evidence.assessment().culprits
    assert evidence.is_empty


def test_evidence_is_bounded_whatever_callers_send():
    evidence = make_evidence([0.0])
    for number in range(MAX_CUT_ATTEMPTS + 10):
        evidence.add_cut(make_cut(number, f'k{number}'))
    evidence.add_harmless(map(str, range(MAX_HARMLESS_KEYS + 10)), 1.0)
    assert len(list(evidence.cut_attempts())) == MAX_CUT_ATTEMPTS


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.integers(0, 9),
            st.sampled_from('xyz'),
            st.floats(0, 9),
        ),
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_order_and_repetition_of_news_do_not_matter(news, order):
    def play(changes) -> tuple:
        evidence = make_evidence([10.0])
        for is_crash, number, key, age in changes:
            if is_crash:
                evidence.add_cut(make_cut(number, key, age=number))
            else:
                evidence.add_harmless((key,), 10 - age)
        found = evidence.assessment()
        return (
            evidence.digest,
            {each.keys for each in found.culprits},
            {each.key for each in found.suspicions},
        )

    # An attempt has one record, whichever entry tells of it.
    distinct = list(
        {
            (*each[:2], '' if each[0] else each[2:]): each for each in news
        }.values()
    )
    shuffled = [*distinct, *distinct]
    order.shuffle(shuffled)
    assert play(distinct) == play(shuffled)
