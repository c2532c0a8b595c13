"""Compares a version for each document with one version for all documents.

Operators change different sites concurrently; each retries a change until it
is accepted. The run is in virtual time on the tests' in-memory table, with
2 ms each way, so its figures don't depend on the machine's speed. "One for
all" adds a check of the stamp row's version to each change. Run it with

    PYTHONPATH=src:tests python benchmarks/config_versions.py
"""

import sys
from dataclasses import replace

import trio
from expression import Result

from config_texts import base, change, overlay
from fake_table import FakeTable
from limpetdrift.protocol.table import Check, TableCalls
from limpetdrift.state.applying import apply_change
from virtual_time import run_in_virtual_time

OPERATOR_COUNTS = (2, 4, 8, 16)
CHANGES_PER_OPERATOR = 5
_SITES = tuple(f's{number}' for number in range(16))


def with_one_version(calls: TableCalls) -> TableCalls:
    """Check in every transaction that the stamp has the version last read."""
    read_versions = {}

    async def read(keys):
        rows = await calls.read(keys)
        if rows.is_ok():
            read_versions.update({row.key: row.version for row in rows.ok})
        return rows

    async def transact(transaction):
        check = Check(
            table='configuration',
            key='stamp',
            version=read_versions['stamp'],
        )
        checks = (*transaction.checks, check)
        return await calls.transact(replace(transaction, checks=checks))

    return replace(calls, read=read, transact=transact)


async def measure(operators: int, one_version: bool) -> tuple[int, float]:
    """Return the number of rejected transactions and the mean time.

    The time is that from the start of a change to its acceptance, in seconds.
    """
    table = FakeTable()
    initial = change('first', base(), *map(overlay, _SITES))
    assert (await apply_change(table.calls(), initial)).is_ok()
    initial_writes, durations = table.writes, []

    async def operate(site: str) -> None:
        calls = table.calls()
        if one_version:
            calls = with_one_version(calls)
        for number in range(CHANGES_PER_OPERATOR):
            requested = change(f'{site}-{number}', overlay(site, number + 1))
            started = trio.current_time()
            outcome = Result.Error(None)
            while outcome.is_error():
                outcome = await apply_change(calls, requested)
            durations.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for site in _SITES[:operators]:
            nursery.start_soon(operate, site)
    rejected = table.writes - initial_writes - operators * CHANGES_PER_OPERATOR
    return rejected, sum(durations) / len(durations)


def main() -> None:
    """Print a table of both variants for each number of operators."""
    sys.stdout.write('operators  versions      in vain  mean accept (ms)\n')
    for operators in OPERATOR_COUNTS:
        for one_version in (False, True):
            rejected, seconds = run_in_virtual_time(
                lambda: measure(operators, one_version),  # noqa: B023
            )
            name = 'one for all' if one_version else 'each its own'
            sys.stdout.write(
                f'{operators:9}  {name:12}  {rejected:7}  '
                f'{seconds * 1000:16.1f}\n',
            )


if __name__ == '__main__':
    main()
