"""Tests that messages and rows of earlier builds are understood, and back.

The samples in ``corpus`` were written by the builds that name them.
"""

import json
from copy import deepcopy
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corpus.make import make
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.compatibility import EXCHANGED
from limpetdrift.verdict import Reason, Verdict

CORPUS = {
    path.stem: json.loads(path.read_text('utf-8'))
    for path in sorted(Path(__file__).parent.joinpath('corpus').glob('*.json'))
}
KINDS = {kind.__qualname__: kind for kind in EXCHANGED}
SAMPLES = [
    (build, name)
    for build, samples in CORPUS.items()
    for name in samples
    if name in KINDS
]
# Values of other types than most fields have.
WRONG = st.sampled_from([None, [], {}, 'text', -1, 1.5, True, [[]], {'a': 1}])


def are_alike(found: object, expected: object) -> bool:
    """Return whether two JSON values have the same type."""
    return found.__class__ is expected.__class__


def test_corpus_has_each_build_in_production_and_all_present_messages():
    assert set(CORPUS) == {'6afa520', 'a781844', 'bdbee81'}
    assert set(KINDS) == set(CORPUS['6afa520']) & set(KINDS)


@pytest.mark.parametrize(('build', 'name'), SAMPLES)
def test_message_of_an_earlier_build_is_decoded(build, name):
    """Guards against a field that is added without a default."""
    for size in ('whole', 'least'):
        payload = json.dumps(CORPUS[build][name][size]).encode()
        decoded = decode(payload, KINDS[name])
        assert decoded.is_ok(), decoded.error
        again = decode(encode(decoded.ok), KINDS[name])
        assert again.ok == decoded.ok


@pytest.mark.parametrize(('build', 'name'), SAMPLES)
def test_message_of_this_build_has_what_an_earlier_one_requires(build, name):
    """Guards against a field that is removed, or sent as another type."""
    sent = json.loads(encode(make(KINDS[name], is_whole=False)))
    earlier = CORPUS[build][name]
    for field in earlier['required']:
        assert field in sent
        assert are_alike(sent[field], earlier['least'][field])
    # An earlier build ignores fields that it doesn't know; others keep a type.
    whole = json.loads(encode(make(KINDS[name], is_whole=True)))
    for field, found in earlier['whole'].items():
        assert are_alike(whole.get(field, found), found)


@given(sample=st.sampled_from(SAMPLES), choices=st.data())
@settings(max_examples=300, deadline=None)
def test_wrong_and_missing_fields_fail_with_an_error_that_names_one(
    sample, choices
):
    """Guards against an error that ends the task of a peer's call."""
    build, name = sample
    body = deepcopy(CORPUS[build][name]['whole'])
    changed = choices.draw(st.sampled_from([*body, 'unknown']))
    if choices.draw(st.booleans()):
        body.pop(changed, None)
    else:
        body[changed] = choices.draw(WRONG)
    decoded = decode(json.dumps(body).encode(), KINDS[name])
    if decoded.is_error():
        assert decoded.error.reason is Reason.BAD_REQUEST
        assert decoded.error.verdict is Verdict.NOT_RUN
        assert changed in decoded.error.detail


@given(payload=st.binary(max_size=60))
def test_bytes_that_are_no_message_fail_without_an_exception(payload):
    for kind in EXCHANGED:
        decoded = decode(payload, kind)
        assert decoded.is_error() or isinstance(decoded.ok, kind)


def test_unknown_fields_are_ignored_by_each_message():
    for kind in EXCHANGED:
        message = make(kind, is_whole=True)
        body = msgspec.json.decode(encode(message))
        body['added_by_a_later_build'] = {'any': ['value']}
        assert decode(encode(body), kind).ok == message
