"""Runs a small site on stand-ins and kills an engine and an entry under load.

``make demo`` runs it. Prompts of different lengths are sent through the
client library, and every answer is compared with the text that the engines
compute for the prompt. The exit code is 0 only if all answers were whole.
"""

import random
import sys
from dataclasses import dataclass

import trio
from rich.console import Console
from rich.table import Table

from limpet_standins.answers import expected_text
from limpet_standins.processes import Processes
from limpet_standins.small_site import (
    MODEL,
    SiteSizes,
    SmallSite,
    start_site,
)
from limpetdrift.client import Answer, Call, Client
from limpetdrift.protocol.openai import ChatMessage, prompt_text
from limpetdrift.protocol.prompts import TOKEN_BYTES
from limpetdrift.transport.messages import parse_address

SIZES = SiteSizes(
    entries=6,
    engines=8,
    services=3,
    engine_options=(
        '--memory-tokens',
        '131072',
        '--prefill-rate',
        '60000',
        '--step-seconds',
        '0.01',
    ),
)
# Both times count from the first request.
KILL_ENGINE_AT_SECONDS = 1.0
KILL_ENTRY_AT_SECONDS = 2.5
SEED = 7
MAX_TOKENS = 120
# The requests of each kind are spread evenly over this time.
SEND_PERIOD_SECONDS = 4.0
FAULT_NOTE_TOKENS = 1_000
HISTORY_TOKENS = 16_000
HALF_QUARTER_TOKENS = 100_000
QUARTER_TOKENS = 300_000


@dataclass(frozen=True, kw_only=True)
class PromptKind:
    """Prompts of one length, and the number of them that is sent."""

    name: str
    prompt_tokens: int
    count: int
    deadline_seconds: float = 40.0


KINDS = (
    PromptKind(name='fault note', prompt_tokens=FAULT_NOTE_TOKENS, count=24),
    PromptKind(name='kiosk history', prompt_tokens=HISTORY_TOKENS, count=8),
    PromptKind(
        name='half a quarter', prompt_tokens=HALF_QUARTER_TOKENS, count=2
    ),
    PromptKind(name='whole quarter', prompt_tokens=QUARTER_TOKENS, count=1),
)


@dataclass(frozen=True, kw_only=True)
class RequestOutcome:
    """The result of one request.

    ``whole`` means that the answer has exactly the expected text.
    """

    kind: PromptKind
    answer: Answer | None
    whole: bool
    failure: str = ''


def main() -> None:
    """Run the demo and exit with 0 if every answer was whole."""
    with Processes() as processes:
        site = start_site(processes, SIZES)
        outcomes = trio.run(send_all, site)
    print_outcomes(outcomes)
    whole = sum(outcome.whole for outcome in outcomes)
    sys.stdout.write(f'{whole} of {len(outcomes)} answers whole\n')
    sys.exit(0 if whole == len(outcomes) else 1)


async def send_all(site: SmallSite) -> list[RequestOutcome]:
    """Send every prompt, and kill an engine and an entry meanwhile."""
    seeds = tuple(parse_address(each) for each in site.entry_addresses)
    client = Client(
        seeds=seeds,
        key=site.key,
        random_source=random.Random(SEED),
    )
    outcomes: list[RequestOutcome] = []

    async def send(kind: PromptKind, number: int) -> None:
        await trio.sleep(number * SEND_PERIOD_SECONDS / kind.count)
        outcomes.append(await send_one(client, kind, number))

    async with trio.open_nursery() as nursery:
        for kind in KINDS:
            for number in range(kind.count):
                nursery.start_soon(send, kind, number)
        await trio.sleep(KILL_ENGINE_AT_SECONDS)
        site.processes.kill(site.engines[0])
        await trio.sleep(KILL_ENTRY_AT_SECONDS - KILL_ENGINE_AT_SECONDS)
        site.processes.kill(site.entries[0])
    return outcomes


async def send_one(
    client: Client, kind: PromptKind, number: int
) -> RequestOutcome:
    """Send one prompt and compare the answer with the expected text."""
    messages = (ChatMessage(role='user', content=_prompt(kind, number)),)
    call = Call(
        model=MODEL,
        messages=messages,
        max_tokens=MAX_TOKENS,
        deadline_seconds=kind.deadline_seconds,
    )
    result = await client.complete(call)
    if result.is_error():
        return RequestOutcome(
            kind=kind,
            answer=None,
            whole=False,
            failure=result.error.reason,
        )
    expected = expected_text(MODEL, prompt_text(messages), MAX_TOKENS)
    whole = result.ok.text == ''.join(expected)
    return RequestOutcome(kind=kind, answer=result.ok, whole=whole)


def print_outcomes(outcomes: list[RequestOutcome]) -> None:
    """Print a table with a row for each kind of prompt."""
    table = Table(title='What each caller got')
    for heading in (
        'prompt',
        'tokens',
        'sent',
        'whole',
        'first token, median',
        'first token, worst',
        'sent again',
        'resumed',
        'failures',
    ):
        table.add_column(heading)
    for kind in KINDS:
        table.add_row(*_row(kind, outcomes))
    Console().print(table)


def _row(kind: PromptKind, outcomes: list[RequestOutcome]) -> list[str]:
    of_kind = [outcome for outcome in outcomes if outcome.kind is kind]
    answers = [outcome.answer for outcome in of_kind if outcome.answer]
    times = sorted(answer.first_token_seconds for answer in answers) or [0.0]
    median, worst = times[len(times) // 2], times[-1]
    failures = {outcome.failure for outcome in of_kind if outcome.failure}
    return [
        kind.name,
        f'{kind.prompt_tokens:,}',
        str(len(of_kind)),
        str(sum(outcome.whole for outcome in of_kind)),
        f'{median:.2f} s',
        f'{worst:.2f} s',
        str(sum(answer.sends - 1 for answer in answers)),
        str(sum(answer.resumptions for answer in answers)),
        '; '.join(sorted(failures)) or '-',
    ]


def _prompt(kind: PromptKind, number: int) -> str:
    phrase = f'{kind.name} {number}: '
    size = kind.prompt_tokens * TOKEN_BYTES
    return (phrase * (size // len(phrase) + 1))[:size]


if __name__ == '__main__':
    main()
