"""Base and overlays: merging, sources of values, references."""

import pathlib

import pytest

from limpetdrift.protocol.configuration import Document
from limpetdrift.state.documents import (
    check_documents,
    classify_document,
    load_site,
)

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
BASE = """models:
  small: {version: "1", copies: 2}
  large: {version: "1"}
urgencies:
  normal: {rank: 5}
accounts:
  desk: {models: [small, large], requests: 5/s}
"""


def documents(base, overlay):
    return (
        Document(name='base', file='base.yaml', text=base),
        Document(name='site/a', file='a.yaml', text=overlay),
    )


def complaint_positions(overlay, base=BASE):
    loaded = load_site(*documents(base, overlay))
    return [(each.file, each.line, each.key) for each in loaded.error]


def test_an_overlay_changes_only_its_own_keys():
    overlay = 'site: a\nmodels: {large: null, small: {copies: 7}}\n'
    overlay += 'accounts:\n  desk:\n    models: [small]\n'
    merged = load_site(*documents(BASE, overlay)).ok
    assert list(merged.config.models) == ['small']
    assert merged.config.models['small'].copies == 7
    assert merged.config.models['small'].version == '1'
    assert merged.config.accounts['desk'].models == ('small',)
    sources = {
        each.key: (each.file, each.line, each.layer, each.value)
        for each in merged.values
    }
    assert sources['models.small.version'] == ('base.yaml', 2, 'base', '1')
    assert sources['models.small.copies'] == ('a.yaml', 2, 'overlay', '7')
    assert sources['accounts.desk.models'][:3] == ('a.yaml', 5, 'overlay')
    assert sources['accounts.desk.requests'][:2] == ('base.yaml', 7)


@pytest.mark.parametrize(
    ('overlay', 'places'),
    [
        (
            'models: {small: null}',
            [('base.yaml', 7, 'accounts.desk.models')],
        ),
        (
            'default_urgency: never',
            [('a.yaml', 1, 'default_urgency')],
        ),
        (
            'urgencies: {normal: null}',
            [('a.yaml', 1, 'default_urgency')],
        ),
        (
            'accounts: {desk: {requests: 5, pace: 1}}',
            [
                ('a.yaml', 1, 'accounts.desk.pace'),
                ('a.yaml', 1, 'accounts.desk.requests'),
            ],
        ),
        ('models: {none: null}', [('a.yaml', 1, 'models.none')]),
        ('models: {x: {y: null}}', [('a.yaml', 1, 'models.x.y')]),
        ('models: 3', [('a.yaml', 1, 'models')]),
    ],
)
def test_a_complaint_about_a_merged_value_names_its_source_file(
    overlay, places
):
    assert complaint_positions(overlay) == places


def test_each_complaint_about_base_and_overlays_is_reported_once():
    base = Document(
        name='base', file='base.yaml', text=f'{BASE}default_urgency: x\n'
    )
    overlays = [
        Document(name=f'site/{name}', file=name, text='brand: [b]\n')
        for name in ('a', 'b')
    ]
    complaints = check_documents(base, overlays).error
    keys = sorted((each.file, each.key) for each in complaints)
    assert keys == [
        ('a', 'brand'),
        ('b', 'brand'),
        ('base.yaml', 'default_urgency'),
    ]


def test_the_example_documents_are_valid():
    found = [
        classify_document(path.name, path.read_text()).ok
        for path in sorted(EXAMPLES.glob('*.yaml'))
        if not path.name.startswith('entry')
    ]
    names = [each.name for each in found]
    assert names == ['base', 'site/instituto', 'site/simu-kona']
    sites = check_documents(found[0], found[1:]).ok
    assert sites['instituto'].config.urgencies['gate'].deadline_seconds == 8
    assert sites['simu-kona'].config.models['drift-small'].copies == 14


def test_a_site_name_with_capitals_and_a_space_is_refused():
    assert classify_document('x.yaml', 'site: Simu Kona').is_error()
