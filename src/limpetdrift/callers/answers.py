"""Builds responses to callers: failures, stream events, completions.

``handle`` is the identifier of a run, which callers get as the completion's
``id``.
"""

import math
import time

from limpetdrift import telemetry
from limpetdrift.protocol.codec import JSON_HEADERS, encode
from limpetdrift.protocol.openai import (
    VERDICT_HEADER,
    ErrorAnswer,
    Usage,
    error_answer,
    status_of,
)
from limpetdrift.state.run import RunEnd
from limpetdrift.transport.messages import Headers, Response
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Failure

SSE_HEADERS: Headers = (
    ('content-type', 'text/event-stream; charset=utf-8'),
    ('cache-control', 'no-store'),
)
KEEPALIVE_EVENT = b': waiting\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


def failure_response(failure: Failure) -> Response:
    """Build the response that reports a failure, and count the failure."""
    telemetry.count('refusals', reason=failure.reason)
    headers: Headers = ((VERDICT_HEADER, failure.verdict.value),)
    if failure.retry_after_seconds is not None:
        seconds = max(1, math.ceil(failure.retry_after_seconds))
        headers = (*headers, ('retry-after', str(seconds)))
    return Response(
        status=status_of(failure),
        headers=(*JSON_HEADERS, *headers),
        body=encode(error_answer(failure)),
    )


async def respond_failure(exchange: Exchange, failure: Failure) -> None:
    """Respond to an exchange with a failure."""
    await exchange.respond(failure_response(failure))


def failure_event(failure: Failure) -> bytes:
    """Build the event that ends a stream with a failure, and count it."""
    telemetry.count('refusals', reason=failure.reason)
    answer: ErrorAnswer = error_answer(failure)
    return _encode_event(answer)


def usage_of(end: RunEnd) -> Usage:
    """Return the token counts of a complete answer."""
    return Usage(
        prompt_tokens=end.prompt_tokens,
        completion_tokens=end.completion_tokens,
        total_tokens=end.prompt_tokens + end.completion_tokens,
        prompt_tokens_details={'cached_tokens': end.cached_tokens},
    )


def completion(handle: str, model: str, text: str, end: RunEnd) -> dict:
    """Build the response body of a request that is not streamed."""
    return {
        'id': handle,
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': text},
                'finish_reason': end.finish,
            },
        ],
        'usage': usage_of(end),
    }


def text_event(handle: str, model: str, text: str, offset: int) -> bytes:
    """Build the event of some text; ``offset`` is that of the next token."""
    return _chunk_event(handle, model, {'content': text}, None, offset)


def finish_event(handle: str, model: str, end: RunEnd) -> bytes:
    """Build the event that carries the reason why the answer ended."""
    return _chunk_event(handle, model, {}, end.finish, end.completion_tokens)


def usage_event(handle: str, model: str, end: RunEnd) -> bytes:
    """Build the event that carries the token counts."""
    chunk = _chunk_body(handle, model)
    return _encode_event({**chunk, 'choices': [], 'usage': usage_of(end)})


def _chunk_event(
    handle: str,
    model: str,
    delta: dict[str, str],
    finish: str | None,
    offset: int,
) -> bytes:
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
    chunk = _chunk_body(handle, model)
    return _encode_event(
        {**chunk, 'choices': [choice], 'limpet': {'offset': offset}},
    )


def _chunk_body(handle: str, model: str) -> dict[str, object]:
    return {
        'id': handle,
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': model,
    }


def _encode_event(message: object) -> bytes:
    return b''.join((b'data: ', encode(message), b'\n\n'))
