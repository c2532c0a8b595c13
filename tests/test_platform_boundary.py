"""Tests that only the adapter contains the platform's wire names."""

import re
from pathlib import Path

import pytest

import limpetdrift

PACKAGE = Path(limpetdrift.__file__).parent
WIRE_NAMES = (
    'LIMPETDRIFT_BOOT',
    'Attempt-Id',
    'attempt-id',
    'Deadline-Ms',
    'deadline-ms',
    'Expect-Instance',
    'expect-instance',
    'Server-Seal',
    'Store-Era',
    'store-era',
    'Server-Load',
    'server-load',
    'Server-Leaving',
    'server-leaving',
    'Not-Executed',
    'not-executed',
    'Prompt-Prefix',
    'prompt-prefix',
    'Token-Usage',
    'token-usage',
    'Request-Urgency',
    'request-urgency',
    'At-Server',
    'at-server',
    'rows-get',
    'rows-feed',
    'rows-tx',
    'blob-put',
    'schemaVersion',
    'afterRevision',
    'pathPrefix',
    'trafficSplit',
    'targetLatencyMs',
    'gapTargetMs',
    'maxAttempts',
    'apiKeys',
    'kvCapacity',
    'kvUsed',
    'holdMs',
    'ttlS',
    '/-/',
    'op/config',
)
PATTERN = re.compile('|'.join(re.escape(name) for name in WIRE_NAMES))
OUTSIDE = sorted(
    path
    for path in PACKAGE.rglob('*.py')
    if 'platform' not in path.relative_to(PACKAGE).parts
)


@pytest.mark.parametrize(
    'path',
    OUTSIDE,
    ids=[str(path.relative_to(PACKAGE)) for path in OUTSIDE],
)
def test_module_outside_the_adapter_contains_no_wire_name(path):
    found = PATTERN.findall(path.read_text())
    assert not found


def test_adapter_is_less_than_a_fifth_of_the_package():
    """Guards against decisions that move from the core into the adapter."""

    def lines(paths) -> int:
        return sum(len(path.read_text().splitlines()) for path in paths)

    inside = lines((PACKAGE / 'platform').glob('*.py'))
    assert inside * 5 < lines(PACKAGE.rglob('*.py'))
