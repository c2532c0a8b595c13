"""Measures the processor time to decode a row, a report and an address.

Run ``python benchmarks/decoding.py``; it prints each in microseconds, the
least of several series, since other processes only add to it.
"""

import sys
import time
from collections.abc import Callable

import msgspec

from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.reports import decode_report
from limpetdrift.transport.messages import parse_address

SERIES = 20
ROUNDS = 5000
ADDRESS = '10.1.64.16:8463'
ROW = msgspec.json.encode(
    {
        'service': 'asistente',
        'address': ADDRESS,
        'zone': 'nave-prado',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 1_796_444_099_632,
        'coldRemainingMs': 0,
        'sequence': 17,
    }
)
REPORT = msgspec.json.encode(
    {
        'active': 7,
        'queued': 2,
        'kvUsed': 183_411,
        'pace': 1.0,
        'prefixes': ['5c1e07a2', '77ab01ff'],
        'born': 1_796_444_099_632,
    }
)


def microseconds(run: Callable[[], object]) -> float:
    """Return the least time of a call over all series."""
    times = []
    for _ in range(SERIES):
        began_at = time.process_time()
        for _ in range(ROUNDS):
            run()
        times.append(time.process_time() - began_at)
    return min(times) / ROUNDS * 1_000_000


def main() -> None:
    """Print the time of each decoder."""
    endpoint = decode_endpoint('i-dba395d7b9', ROW).ok
    runs = {
        'address': lambda: parse_address(ADDRESS),
        'row': lambda: decode_endpoint('i-dba395d7b9', ROW),
        'report': lambda: decode_report(REPORT, endpoint),
    }
    for name, run in runs.items():
        sys.stdout.write(f'{name}: {microseconds(run):.2f} us\n')


if __name__ == '__main__':
    main()
