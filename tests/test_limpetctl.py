"""Tests ``limpetctl`` against the operator API on loopback connections."""

import json
import pathlib
import random
import threading

import pytest
import trio

from config_cluster import make_node
from fake_network import FakeNetwork
from fake_table import FakeTable
from limpetdrift.coordination.administration.config_routes import (
    add_configuration_routes,
)
from limpetdrift.coordination.configuration.config_confirmation import (
    ClusterView,
    PeerReachability,
)
from limpetdrift.coordination.configuration.configuration import (
    ConfigurationManager,
)
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.operators.configuration import count_in_force
from limpetdrift.operators.exits import ExitCode
from limpetdrift.programs.limpetctl import main
from limpetdrift.protocol.configuration import EntryVersions, SiteVersions
from limpetdrift.transport.messages import Address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SECRET = 'operators-only'
LOOPBACK = Address(host='127.0.0.1', port=0)


def run_limpetctl(capsys, *arguments):
    """Run limpetctl and return its exit code and standard output."""
    exited = pytest.raises(SystemExit, main, list(arguments))
    return exited.value.code, capsys.readouterr().out


def make_manager(network, table, number, others):
    routes = PeerRoutes()
    node = make_node(number)
    manager = ConfigurationManager(
        node=node,
        calls=table.calls(),
        peer_call=network.add_peer(node.peer_address, routes),
        cluster=ClusterView(
            others=lambda: tuple(map(make_node, others)),
            contacts=lambda: PeerReachability(answering=1, silent=0),
            list_reachable=lambda: True,
            is_poller=lambda: True,
        ),
        randomness=random.Random(number),
    )
    manager.register(routes)
    return manager


@pytest.fixture
def table_of_two_entries(monkeypatch):
    """Run two entries in a thread, and yield the table service of both.

    Only the second serves the operator API. ``LIMPET_ENTRIES`` lists an
    address that refuses connections, then that of the second entry.
    """
    started = []
    token = trio.lowlevel.current_trio_token
    ready = threading.Event()

    async def serve():
        table, network = FakeTable(), FakeNetwork(seed=1)
        managers = [
            make_manager(network, table, number, {0, 1} - {number})
            for number in range(2)
        ]
        routes = Routes()
        add_configuration_routes(routes, managers[1], SECRET)
        listeners = await listen(LOOPBACK)
        async with trio.open_nursery() as nursery:
            for manager in managers:
                nursery.start_soon(manager.run)
            nursery.start_soon(Server(handler=routes.handle).serve, listeners)
            started.extend([token(), nursery, bound_address(listeners), table])
            ready.set()

    thread = threading.Thread(target=trio.run, args=(serve,))
    thread.start()
    assert ready.wait(10)
    monkeypatch.setenv('LIMPET_ENTRIES', f'127.0.0.1:1,{started[2]}')
    monkeypatch.setenv('LIMPET_OPERATOR_SECRET', SECRET)
    yield started[3]
    started[0].run_sync_soon(started[1].cancel_scope.cancel)
    thread.join(10)


def test_changes_apply_and_a_wrong_expected_version_is_a_conflict(
    table_of_two_entries, capsys, tmp_path
):
    base = str(EXAMPLES / 'base.yaml')
    site = str(EXAMPLES / 'simu-kona.yaml')
    code, text = run_limpetctl(capsys, 'apply', base, site)
    assert (code, text.splitlines()) == (
        ExitCode.DONE,
        [
            'accepted: base version 1',
            'accepted: site/simu-kona version 1',
            'in force on 2 of 2 entries',
        ],
    )
    code, text = run_limpetctl(capsys, 'apply', site)
    assert (code, text.splitlines()[0]) == (
        ExitCode.DONE,
        'unchanged: site/simu-kona version 1',
    )
    code, text = run_limpetctl(capsys, 'show', 'simu-kona', '--json')
    values = {each['key']: each for each in json.loads(text)['values']}
    assert values['models.drift-small.version']['layer'] == 'base'
    assert values['models.drift-small.copies']['file'] == site
    changed = tmp_path / 'kona.yaml'
    changed.write_text(pathlib.Path(site).read_text() + 'brand: Kona\n')
    code, text = run_limpetctl(capsys, 'validate', str(changed))
    assert code == ExitCode.INVALID
    assert 'brand: expected each key once' in text
    changed.write_text('site: simu-kona\nbrand: Kona\n')
    assert run_limpetctl(capsys, 'diff', str(changed))[0] == ExitCode.DIFFERENT
    assert run_limpetctl(capsys, 'validate', str(changed))[0] == ExitCode.DONE
    code, text = run_limpetctl(
        capsys, 'apply', '--expect', 'site/simu-kona=3', str(changed)
    )
    assert code == ExitCode.CONFLICT
    assert 'site/simu-kona: expected version 3, it is 1' in text
    assert '+brand: Kona' in text
    assert run_limpetctl(capsys, 'apply', str(changed))[0] == ExitCode.DONE
    assert 'simu-kona  2' in run_limpetctl(capsys, 'show')[1]


def test_apply_without_the_store_or_with_a_wrong_secret_changes_nothing(
    table_of_two_entries, capsys, monkeypatch
):
    files = [str(EXAMPLES / 'base.yaml'), str(EXAMPLES / 'instituto.yaml')]
    table_of_two_entries.down = True
    assert run_limpetctl(capsys, 'apply', *files)[0] == ExitCode.UNAVAILABLE
    table_of_two_entries.down = False
    monkeypatch.setenv('LIMPET_OPERATOR_SECRET', 'guess')
    code, text = run_limpetctl(capsys, 'apply', *files)
    assert (code, text.split(':')[0]) == (ExitCode.UNAVAILABLE, 'forbidden')
    assert table_of_two_entries.rows == {}


def test_wrong_arguments_exit_with_the_usage_code(capsys, monkeypatch):
    monkeypatch.delenv('LIMPET_ENTRIES', raising=False)
    assert run_limpetctl(capsys, 'show')[0] == ExitCode.USAGE
    assert (
        run_limpetctl(capsys, 'apply', '--entry', 'x', 'f')[0] == ExitCode.USAGE
    )
    assert run_limpetctl(capsys, 'quarantine', 'keep')[0] == ExitCode.USAGE


def test_validate_reports_all_complaints(capsys, tmp_path):
    bad = tmp_path / 'bad.yaml'
    bad.write_text('models:\n  m: {version: [1], copies: many}\nx: 1\n')
    code, text = run_limpetctl(
        capsys, 'validate', str(bad), str(tmp_path / 'none')
    )
    assert code == ExitCode.INVALID
    code, text = run_limpetctl(capsys, 'validate', '--json', str(bad))
    found = [
        (each['line'], each['key']) for each in json.loads(text)['complaints']
    ]
    assert found == [
        (3, 'x'),
        (2, 'models.m.version'),
        (2, 'models.m.copies'),
    ]


def test_documents_that_an_entry_holds_but_does_not_use_are_not_in_force():
    entry = EntryVersions(
        entry='e',
        held={'base': 4, 'site/a': 7},
        sites=(SiteVersions(site='a', base=3, overlay=7),),
        admits=True,
    )
    assert count_in_force((entry,), {'site/a': 7}) == 1
    assert count_in_force((entry,), {'base': 4}) == 0
