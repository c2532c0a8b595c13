"""Runs the fuzzer with one seed after the other, for some minutes.

    python -m fuzz.run --seed 1 --minutes 2 --only wire

Each failure is printed with its seed and the shortest input that still fails.
``--production COMMIT`` plays the running site on that commit's build. To try
the parsers of another build, put its sources into ``PYTHONPATH``.
"""

import argparse
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from hypothesis import strategies as st

from fuzz.answers import ANSWERS, SentAnswer, check_answer
from fuzz.crowds import CROWDS_IN_A_ROW, check_crowds
from fuzz.decoders import DOCUMENTS, check_document
from fuzz.grammar import SentRequest, play_seed
from fuzz.inputs import SpoiledInput
from fuzz.site import INPUTS, check_site
from fuzz.wire import CONNECTIONS, check_connection
from soak.builds import export_source

SECONDS_PER_MINUTE = 60
# Inputs of one seed. Each input of the running site takes seconds.
EXAMPLES = {
    'decoders': 500,
    'wire': 300,
    'answers': 200,
    'site': 2,
    'crowds': 2,
}


@dataclass(kw_only=True)
class Report:
    """The inputs and seeds that were tried, and the seeds that failed."""

    inputs: int = 0
    seeds: int = 0
    failed: tuple[int, ...] = ()


def make_checks(production: str) -> dict[str, Callable[[int, Report], None]]:
    """Return the fuzzer's uses by name; each plays all inputs of a seed."""
    return {
        'decoders': partial(
            _check, EXAMPLES['decoders'], DOCUMENTS, _check_document
        ),
        'wire': partial(
            _check, EXAMPLES['wire'], CONNECTIONS, _check_connection
        ),
        'answers': partial(_check, EXAMPLES['answers'], ANSWERS, _check_answer),
        'site': partial(
            _check,
            EXAMPLES['site'],
            INPUTS,
            partial(_check_on_new_site, production),
        ),
        'crowds': partial(
            _check, EXAMPLES['crowds'], CROWDS_IN_A_ROW, _check_crowds
        ),
    }


def run_seeds(
    check: Callable[[int, Report], None], first_seed: int, seconds: float
) -> Report:
    """Play seeds until the time is over or one has failed."""
    report = Report()
    until = time.monotonic() + seconds
    number = first_seed
    while time.monotonic() < until and not report.failed:
        report.seeds += 1
        try:
            check(number, report)
        except Exception:
            report.failed = (number,)
            sys.stdout.write(f'seed {number} fails:\n')
            traceback.print_exc(file=sys.stdout)
        number += 1
    return report


def _check(
    examples: int,
    inputs: st.SearchStrategy,
    check: Callable[[object], None],
    number: int,
    report: Report,
) -> None:
    def count_and_check(found: object) -> None:
        report.inputs += 1
        check(found)

    play_seed(inputs, count_and_check, number=number, count=examples)


def _check_document(found: tuple[str, bytes]) -> None:
    check_document(*found)


def _check_connection(found: tuple[tuple[SentRequest, ...], bool]) -> None:
    check_connection(*found)


def _check_answer(found: tuple[SentAnswer, bool, bool]) -> None:
    check_answer(*found)


def _check_on_new_site(production: str, inputs: list[SpoiledInput]) -> None:
    with tempfile.TemporaryDirectory(prefix='fuzz-') as folder:
        check_site(inputs, Path(folder), production)


def _check_crowds(crowds: list[tuple]) -> None:
    with tempfile.TemporaryDirectory(prefix='fuzz-') as folder:
        check_crowds(crowds, Path(folder))


def main() -> None:
    """Run the uses that were asked for, and print what each has tried."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1.0)
    parser.add_argument('--only', choices=sorted(EXAMPLES), default='')
    parser.add_argument('--production', default='')
    arguments = parser.parse_args()
    production = ''
    if arguments.production:
        folder = Path(tempfile.mkdtemp(prefix='fuzz-build-'))
        production = export_source(arguments.production, folder / 'build')
    has_failed = False
    for name, check in make_checks(production).items():
        if arguments.only not in {'', name}:
            continue
        began_at = time.monotonic()
        seconds = arguments.minutes * SECONDS_PER_MINUTE
        report = run_seeds(check, arguments.seed, seconds)
        elapsed = time.monotonic() - began_at
        has_failed = has_failed or bool(report.failed)
        sys.stdout.write(
            f'{name}: {report.seeds} seeds, {report.inputs} inputs in '
            f'{elapsed:.1f} s, failed {report.failed}\n'
        )
        sys.stdout.flush()
    sys.exit(has_failed)


if __name__ == '__main__':
    main()
