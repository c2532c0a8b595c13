"""Builds small configuration documents and changes for tests."""

from limpetdrift.protocol.configuration import Change, Document


def base_text(number=0, models=('small', 'large')):
    lines = [f'brand: base {number}', 'urgencies: {normal: {rank: 1}}']
    lines.append('models:')
    lines.extend(f'  {name}: {{version: "1"}}' for name in models)
    return '\n'.join(lines)


def site_text(site, number=0, model='small'):
    return (
        f'site: {site}\nbrand: {site} {number}\n'
        f'accounts: {{desk: {{models: [{model}]}}}}\n'
    )


def base(number=0, **keywords):
    text = base_text(number, **keywords)
    return Document(name='base', file='base.yaml', text=text)


def overlay(site, number=0, **keywords):
    text = site_text(site, number, **keywords)
    return Document(name=f'site/{site}', file=f'{site}.yaml', text=text)


def change(change_id, *documents, **expected):
    versions = {
        name if name == 'base' else f'site/{name}': version
        for name, version in expected.items()
    }
    return Change(
        change_id=change_id,
        documents=documents,
        expected=versions,
        author='tester',
    )
