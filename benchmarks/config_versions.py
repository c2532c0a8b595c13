"""Versions for each document against one version for all.

Operators change unlike sites at once, each again and again until accepted.
The run is in virtual time on the tests' in-memory table (2 ms each way), so
its figures don't depend on the machine. "One version" adds a check of the
stamp row to each change. Run it with

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
CHANGES_EACH = 5
_SITES = tuple(f's{number}' for number in range(16))


def with_one_version(calls: TableCalls) -> TableCalls:
    """Check the stamp as it was first read in every transaction."""
    seen = {}

    async def read(keys):
        rows = await calls.read(keys)
        if rows.is_ok():
            seen.update({row.key: row.version for row in rows.ok})
        return rows

    async def transact(transaction):
        check = Check(
            table='configuration',
            key='stamp',
            version=seen['stamp'],
        )
        checks = (*transaction.checks, check)
        return await calls.transact(replace(transaction, checks=checks))

    return replace(calls, read=read, transact=transact)


async def measure(operators: int, one_version: bool) -> tuple[int, float]:
    """Return transactions in vain and the mean time to acceptance."""
    table = FakeTable()
    first = change('first', base(), *map(overlay, _SITES))
    assert (await apply_change(table.calls(), first)).is_ok()
    writes, taken = table.writes, []

    async def operate(site: str) -> None:
        calls = table.calls()
        if one_version:
            calls = with_one_version(calls)
        for number in range(CHANGES_EACH):
            wanted = change(f'{site}-{number}', overlay(site, number + 1))
            started = trio.current_time()
            outcome = Result.Error(None)
            while outcome.is_error():
                outcome = await apply_change(calls, wanted)
            taken.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for site in _SITES[:operators]:
            nursery.start_soon(operate, site)
    in_vain = table.writes - writes - operators * CHANGES_EACH
    return in_vain, sum(taken) / len(taken)


def main() -> None:
    """Print the table."""
    sys.stdout.write('operators  versions      in vain  mean accept (ms)\n')
    for operators in OPERATOR_COUNTS:
        for one_version in (False, True):
            in_vain, seconds = run_in_virtual_time(
                lambda: measure(operators, one_version),  # noqa: B023
            )
            name = 'one for all' if one_version else 'each its own'
            sys.stdout.write(
                f'{operators:9}  {name:12}  {in_vain:7}  {seconds * 1000:16.1f}\n',
            )


if __name__ == '__main__':
    main()
