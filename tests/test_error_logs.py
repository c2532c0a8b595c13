"""Tests that the logs tell what ended a process or failed an attempt."""

import json
import logging
import subprocess
import sys

import trio

from forward_harness import (
    FakeExchange,
    ForwardHarness,
    events,
    make_route,
)
from limpetdrift import telemetry
from limpetdrift.error_logs import log_leaves
from limpetdrift.logs import JsonFormatter
from limpetdrift.programs.exits import FAILED_EXIT
from virtual_time import in_virtual_time

# Runs the program with a main task of which two child tasks fail.
FAILING_PROGRAM = """
import sys
import trio
from expression import Ok
from limpetdrift.platform import program

async def poll_address():
    raise OverflowError('connect(): port must be 0-65535.')

async def poll_host():
    raise UnicodeError('label too long' + chr(10) + 'or empty')

async def poll_all():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(poll_address)
        nursery.start_soon(poll_host)

async def serve(settings):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(poll_all)

program.serve = serve
program.read_settings = lambda path: Ok(None)
sys.argv = ['limpet-platform-entry']
program.run()
"""


def test_error_that_ends_the_process_is_lost_in_lines_that_are_not_json():
    ended = subprocess.run(
        [sys.executable, '-c', FAILING_PROGRAM],
        capture_output=True,
        timeout=30,
        check=False,
    )
    lines = [json.loads(each) for each in ended.stdout.splitlines()]
    assert ended.returncode == FAILED_EXIT
    assert not ended.stderr
    by_type = {each['error_type']: each for each in lines}
    assert len(lines) == len(by_type) == 2
    for line in lines:
        assert line['message'] == 'ended by an error'
        assert line['level'] == 'error'
    port, host = by_type['OverflowError'], by_type['UnicodeError']
    assert port['detail'] == 'connect(): port must be 0-65535.'
    assert host['detail'] == 'label too long\nor empty'
    assert port['task'].endswith('__main__.poll_all > __main__.poll_address')
    assert 'in poll_address\n' in port['error']
    assert 'Traceback' in host['error']
    assert 'OverflowError' not in host['error']


@in_virtual_time
async def test_error_of_a_named_task_is_logged_without_that_name(caplog):
    async def fail() -> None:
        raise ValueError('wrong')

    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail)
    except ExceptionGroup as error:
        log_leaves('task failed', error, task='gossip')
    assert len(caplog.records) == 1
    record = caplog.records[0]
    assert record.levelno == logging.ERROR
    tasks = record.limpet_fields['task'].split(' > ')
    assert tasks[0] == 'gossip'
    assert tasks[1].endswith('.<locals>.fail')
    assert record.exc_info[1].args == ('wrong',)


def attempt_errors() -> int:
    text = telemetry.exposition().decode()
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('limpet_attempt_errors_total')
        and 'type="UnicodeError"' in line
    )


@in_virtual_time
async def test_attempt_that_raises_names_neither_request_nor_endpoint(caplog):
    async def fail(seen: int):
        yield b''
        raise UnicodeError('label too long')

    harness = ForwardHarness(fail, events(1, 2))
    counted = attempt_errors()
    exchange = FakeExchange()
    await harness.serve(make_route(), exchange)
    errors = [each for each in caplog.records if each.levelno == logging.ERROR]
    assert len(errors) == 1
    record = errors[0]
    assert record.getMessage() == 'attempt failed'
    fields = record.limpet_fields
    assert fields['id'] == 'a1'
    assert fields['endpoint'] == 'i-0'
    assert fields['address'] == '10.0.0.0:80'
    assert fields['error_type'] == 'UnicodeError'
    assert fields['detail'] == 'label too long'
    assert record.exc_info[1].args == ('label too long',)
    assert attempt_errors() == counted + 1


def test_text_that_is_no_unicode_raises_where_it_is_logged():
    """An error with such a text would end the task that logs it."""
    formatter = JsonFormatter(program='p')
    record = logging.LogRecord('absl', logging.ERROR, '', 0, 'x', (), None)
    record.limpet_fields = {'detail': 'host \udc80', 'kind': trio.Event}
    line = formatter.format(record)
    assert json.loads(line)['detail'] == 'host \udc80'
    line.encode('ascii')
