"""Tests that logging does not block, and the output of ``limpet-story``."""

import json
import os
import subprocess
import sys
import time

from limpetdrift.logs import SAMPLED_EVERY, LineQueue, is_sampled
from limpetdrift.programs.story import Arguments, print_lines


def test_logging_does_not_block_when_nobody_reads_the_output():
    """Log many more lines than the pipe and the queue hold.

    The process must go on and exit although its output is not read.
    """
    code = (
        'from limpetdrift import logs\n'
        'import sys\n'
        'logs.set_up_queue("test")\n'
        'for number in range(20000):\n'
        '    logs.note("x" * 100, number=number)\n'
        'sys.stderr.write("done")\n'
        'import os\n'
        'os._exit(0)\n'
    )
    process = subprocess.Popen(
        [sys.executable, '-c', code],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    try:
        assert process.wait(timeout=60) == 0
        assert process.stderr.read() == b'done'
    finally:
        process.kill()
        process.wait()


def test_number_of_dropped_lines_is_logged():
    reader, writer = os.pipe()
    queue = LineQueue(descriptor=writer, size=2)
    for number in range(5):
        queue.put(f'{{"number": {number}}}')
    assert queue.dropped == 3
    queue._write_some()
    queue.put('{"number": 9}')
    queue._write_some()
    os.close(writer)
    with os.fdopen(reader) as read:
        lines = [json.loads(line) for line in read]
    assert [line.get('number') for line in lines] == [0, 1, None, 9]
    assert lines[2]['count'] == 3


def test_sampling_is_deterministic_and_close_to_its_rate():
    sampled = [is_sampled(f'r{number}') for number in range(4000)]
    assert sampled == [is_sampled(f'r{number}') for number in range(4000)]
    assert 0.5 < sum(sampled) * SAMPLED_EVERY / len(sampled) < 1.5


def test_lines_of_a_request_are_merged_from_several_logs_by_time(
    tmp_path, capsys
):
    first = tmp_path / 'entry-1.log'
    second = tmp_path / 'entry-2.log'
    first.write_text(
        'not json\n'
        '{"time": 3.0, "message": "served", "id": "r1", "seconds": 1}\n'
        '{"time": 1.0, "message": "placed", "id": "r1", "helpers": []}\n',
    )
    second.write_text(
        '{"time": 2.0, "message": "attempt failed", "id": "r1"}\n'
        '{"time": 2.5, "message": "served", "id": "r2"}\n',
    )
    files = [str(first), str(second), str(tmp_path / 'missing.log')]
    assert print_lines(Arguments(files=files, request='r1')) == 0
    captured = capsys.readouterr()
    printed = [line.split(':')[1].strip() for line in captured.out.splitlines()]
    assert [each.split(' id')[0] for each in printed] == [
        'placed',
        'attempt failed',
        'served',
    ]
    assert 'missing.log' in captured.err
    assert print_lines(Arguments(files=files, request='r9')) == 1


def test_match_prints_the_lines_that_contain_a_text_as_json(tmp_path, capsys):
    log = tmp_path / 'entry-1.log'
    log.write_text(
        '{"time": 1.0, "message": "endpoint listed", "endpoint": "i-7"}\n'
        '{"time": 2.0, "message": "endpoint listed", "endpoint": "i-8"}\n',
    )
    assert print_lines(Arguments(files=[str(log)], match='i-7', json=True)) == 0
    line = json.loads(capsys.readouterr().out)
    assert (line['endpoint'], line['source']) == ('i-7', 'entry-1')


def test_flush_waits_for_its_timeout_while_lines_are_queued():
    reader, writer = os.pipe()
    queue = LineQueue(descriptor=writer)
    queue.put('{}')
    started_at = time.monotonic()
    queue.flush(0.05)
    assert time.monotonic() - started_at >= 0.04
    os.close(reader)
    os.close(writer)
