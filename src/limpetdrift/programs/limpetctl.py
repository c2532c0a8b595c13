"""``limpetctl``: the command line client of operators.

Commands that call entries need the address of at least one, and the operators'
secret:

    export LIMPET_ENTRIES=10.0.0.1:8100,10.0.1.1:8100
    export LIMPET_OPERATOR_SECRET=...
    limpetctl apply base.yaml simu-kona.yaml
"""

import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import trio

from limpetdrift.callers.access import hash_key
from limpetdrift.operators import configuration, running
from limpetdrift.operators.client import OperatorClient
from limpetdrift.operators.exits import EXIT_MEANINGS, ExitCode
from limpetdrift.operators.output import Output
from limpetdrift.protocol.operator import QuarantineRequest
from limpetdrift.state.options import Unit, expected_quantity, parse_quantity
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, parse_address

ENTRIES_VARIABLE = 'LIMPET_ENTRIES'
SECRET_VARIABLE = 'LIMPET_OPERATOR_SECRET'

Operation = Callable[[OperatorClient, Output], Awaitable[ExitCode]]
Files = Annotated[
    list[Path],
    cappa.Arg(num_args=-1, required=True, help='base and overlay files'),
]


@dataclass(kw_only=True)
class _Options:
    """Options of all commands that call entries."""

    entry: Annotated[
        list[str],
        cappa.Arg(
            long='--entry',
            help=f'host:port of an entry; default: {ENTRIES_VARIABLE}',
        ),
    ] = field(default_factory=list)
    secret_file: Annotated[
        Path | None,
        cappa.Arg(
            long='--secret-file',
            help=f'file with the secret; default: {SECRET_VARIABLE}',
        ),
    ] = None
    json: Annotated[
        bool,
        cappa.Arg(long='--json', help='print the report as one JSON object'),
    ] = False


def _run_validate(command: 'Validate') -> ExitCode:
    output = Output(json=command.json)
    if _parse_entries(command):
        return _run(
            command,
            lambda client, _: configuration.validate(
                client,
                output,
                command.files,
            ),
        )
    return trio.run(configuration.validate, None, output, command.files)


def _run_diff(command: 'Diff') -> ExitCode:
    return _run(
        command,
        lambda client, output: configuration.show_difference(
            client,
            output,
            command.files,
        ),
    )


def _run_apply(command: 'Apply') -> ExitCode:
    expected = _parse_expected(command.expect)
    return _run(
        command,
        lambda client, output: configuration.apply_files(
            client,
            output,
            command.files,
            expected,
        ),
    )


def _run_show(command: 'Show') -> ExitCode:
    if command.site is None:
        return _run(command, configuration.show_documents)
    site = command.site
    return _run(
        command,
        lambda client, output: configuration.show_site(client, output, site),
    )


def _run_status(command: 'Status') -> ExitCode:
    return _run(command, running.show_status)


def _run_drain(command: 'Drain') -> ExitCode:
    return _run(
        command,
        lambda client, output: running.drain(client, output, command.name),
    )


def _run_quarantine(command: 'Quarantine') -> ExitCode:
    action = _QUARANTINE_ACTIONS.get(command.action)
    if action is None:
        names = ', '.join(_QUARANTINE_ACTIONS)
        raise cappa.Exit(
            f'quarantine: expected one of {names}', code=ExitCode.USAGE
        )
    return action(command)


def _add_quarantine(command: 'Quarantine') -> ExitCode:
    seconds = parse_quantity(command.time, Unit.DURATION)
    if seconds is None:
        expected = expected_quantity(Unit.DURATION)
        raise cappa.Exit(f'--time: expected {expected}', code=ExitCode.USAGE)
    return _set_quarantine(command, seconds)


def _set_quarantine(command: 'Quarantine', seconds: float) -> ExitCode:
    if command.fingerprint is None:
        raise cappa.Exit(
            'quarantine add and remove: expected a fingerprint',
            code=ExitCode.USAGE,
        )
    request = QuarantineRequest(
        fingerprint=command.fingerprint,
        account=command.account,
        seconds=seconds,
    )
    return _run(
        command,
        lambda client, output: running.set_quarantine(client, output, request),
    )


_QUARANTINE_ACTIONS = {  # noqa: WPS407
    'list': lambda command: _run(command, running.list_quarantine),
    'add': _add_quarantine,
    'remove': lambda command: _set_quarantine(command, 0),
}


def _run_hash_key(_: 'HashKey') -> ExitCode:
    key = sys.stdin.read().strip()
    if not key:
        raise cappa.Exit(
            'expected a key on standard input', code=ExitCode.USAGE
        )
    sys.stdout.write(f'{hash_key(key)}\n')
    return ExitCode.DONE


@cappa.command(name='validate', invoke=_run_validate)
@dataclass(kw_only=True)
class Validate(_Options):
    """Check files on their own or, with entries, against the stored ones."""

    files: Files


@cappa.command(name='diff', invoke=_run_diff)
@dataclass(kw_only=True)
class Diff(_Options):
    """Show how files differ from the documents that an entry holds."""

    files: Files


@cappa.command(name='apply', invoke=_run_apply)
@dataclass(kw_only=True)
class Apply(_Options):
    """Apply files as one change and wait until it is in force."""

    files: Files
    expect: Annotated[
        list[str],
        cappa.Arg(
            long='--expect',
            help='the stored version to replace, such as base=3',
        ),
    ] = field(default_factory=list)


@cappa.command(name='show', invoke=_run_show)
@dataclass(kw_only=True)
class Show(_Options):
    """Show a site's merged values and their sources, or all documents."""

    site: Annotated[str | None, cappa.Arg(help='name of the site')] = None


@cappa.command(name='status', invoke=_run_status)
@dataclass(kw_only=True)
class Status(_Options):
    """Show entries, endpoints, versions, queues, quarantine and leases."""


@cappa.command(name='drain', invoke=_run_drain)
@dataclass(kw_only=True)
class Drain(_Options):
    """Drain an entry or endpoint, so that its running requests complete."""

    name: Annotated[str, cappa.Arg(help='name of the entry or endpoint')]


@cappa.command(name='quarantine', invoke=_run_quarantine)
@dataclass(kw_only=True)
class Quarantine(_Options):
    """List, add or remove fingerprints that all entries refuse."""

    action: Annotated[str, cappa.Arg(help='list, add or remove')] = 'list'
    fingerprint: Annotated[
        str | None, cappa.Arg(help='fingerprint to add or remove')
    ] = None
    account: Annotated[
        str,
        cappa.Arg(long='--account', help='client account of the fingerprint'),
    ] = ''
    time: Annotated[
        str,
        cappa.Arg(
            long='--time', help='time for which to refuse, such as 10min'
        ),
    ] = '10min'


@cappa.command(name='hash-key', invoke=_run_hash_key)
@dataclass(kw_only=True)
class HashKey:
    """Print the hash of a bearer key read from standard input."""


_EXITS = ' '.join(
    f'{int(code)}: {meaning}.' for code, meaning in EXIT_MEANINGS.items()
)


@cappa.command(name='limpetctl', description=f'Exit codes. {_EXITS}')
@dataclass(kw_only=True)
class Limpetctl:
    """Operate limpetdrift: configuration, status, drain and quarantine."""

    command: cappa.Subcommands[
        Validate | Diff | Apply | Show | Status | Drain | Quarantine | HashKey
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its exit code."""
    sys.exit(int(cappa.invoke(Limpetctl, argv=arguments)))


def _run(command: _Options, operation: Operation) -> ExitCode:
    entries = _parse_entries(command)
    if not entries:
        message = f'expected --entry or {ENTRIES_VARIABLE}'
        raise cappa.Exit(message, code=ExitCode.USAGE)
    secret = _read_secret(command)
    output = Output(json=command.json)

    async def run() -> ExitCode:
        http = HttpClient()
        client = OperatorClient(entries=entries, secret=secret, http=http)
        try:
            return await operation(client, output)
        finally:
            http.close()

    return trio.run(run)


def _parse_entries(command: _Options) -> tuple[Address, ...]:
    listed = os.environ.get(ENTRIES_VARIABLE, '').split(',')
    texts = command.entry or [text for text in listed if text]
    try:
        return tuple(map(parse_address, texts))
    except ValueError as error:
        raise cappa.Exit(str(error), code=ExitCode.USAGE) from error


def _read_secret(command: _Options) -> str:
    if command.secret_file is None:
        return os.environ.get(SECRET_VARIABLE, '')
    try:
        return command.secret_file.read_text().strip()
    except OSError as error:
        raise cappa.Exit(str(error), code=ExitCode.USAGE) from error


def _parse_expected(texts: list[str]) -> dict[str, int]:
    expected = {}
    for text in texts:
        name, _, version = text.rpartition('=')
        if not (name and version.isdigit()):
            message = f'--expect: expected name=version, found {text}'
            raise cappa.Exit(message, code=ExitCode.USAGE)
        expected[name] = int(version)
    return expected


if __name__ == '__main__':
    main()
