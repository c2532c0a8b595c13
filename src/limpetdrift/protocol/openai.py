"""The messages, errors and headers of the callers' chat API.

The formats follow the usual chat completion API, so that a client written for
it works unchanged. Additions to it are the ``limpet`` objects and the headers
whose names start with ``x-limpet-``.
"""

from dataclasses import dataclass, field
from typing import Any

from limpetdrift.verdict import Failure, Reason

KEY_HEADER = 'idempotency-key'
REPEATABLE_HEADER = 'x-limpet-repeatable'
URGENCY_HEADER = 'x-limpet-urgency'
DEADLINE_HEADER = 'x-limpet-deadline-seconds'
VERDICT_HEADER = 'x-limpet-verdict'
STREAM_HEADER = 'x-limpet-stream'
OFFSET_HEADER = 'x-limpet-offset'

# Limit of an answer's tokens if the request gives none.
DEFAULT_MAX_TOKENS = 256
GATEWAY_TIMEOUT_STATUS = 504
SERVICE_UNAVAILABLE_STATUS = 503

# HTTP status of a failure; other reasons get SERVICE_UNAVAILABLE_STATUS.
STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.STREAM_UNKNOWN: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.CONFLICT: 409,
    Reason.CLAIMED_ELSEWHERE: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.QUARANTINED: 422,
    Reason.RATE_LIMITED: 429,
    Reason.CONCURRENCY_LIMITED: 429,
    Reason.OVERLOADED: 429,
    Reason.INTERNAL: 500,
    Reason.DEADLINE: GATEWAY_TIMEOUT_STATUS,
    Reason.TIMEOUT: GATEWAY_TIMEOUT_STATUS,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatMessage:
    """One message of a chat; ``content`` is a text or a list of text parts."""

    role: str
    content: Any = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOptions:
    """Options of a streamed answer; ``include_usage`` adds token counts."""

    include_usage: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Resumption:
    """The part of an answer that an earlier, lost stream delivered.

    ``start_offset`` is its number of tokens, ``delivered`` its text.
    """

    start_offset: int = 0
    delivered: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatRequest:
    """The body of ``POST /v1/chat/completions``.

    ``limpet`` resumes an answer whose stream was lost.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions = field(default_factory=StreamOptions)
    limpet: Resumption = field(default_factory=Resumption)


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Token counts of an answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorBody:
    """An error in the usual format of chat completion APIs, with additions.

    These are the verdict, the time after which to retry, and the addresses of
    other entries to use instead.
    """

    message: str
    type: str
    code: str
    param: str | None = None
    verdict: str = ''
    retry_after_seconds: float | None = None
    alternatives: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    """The whole body of an error answer."""

    error: ErrorBody


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    return STATUS_BY_REASON.get(failure.reason, SERVICE_UNAVAILABLE_STATUS)


def error_answer(failure: Failure) -> ErrorAnswer:
    """Return a failure in the callers' format."""
    status = status_of(failure)
    error_type = 'server_error'
    if status < STATUS_BY_REASON[Reason.INTERNAL]:
        error_type = 'invalid_request_error'
    return ErrorAnswer(
        error=ErrorBody(
            message=failure.detail or failure.reason.value,
            type=error_type,
            code=failure.reason.value,
            verdict=failure.verdict.value,
            retry_after_seconds=failure.retry_after_seconds,
            alternatives=failure.alternatives,
        ),
    )


def prompt_text(messages: tuple[ChatMessage, ...]) -> str:
    r"""Return the engine's prompt for the messages of a chat.

    >>> prompt_text((ChatMessage(role='user', content='Hello'),))
    'user: Hello\nassistant:'
    """
    lines = [
        f'{message.role}: {_content_text(message.content)}\n'
        for message in messages
    ]
    return ''.join((*lines, 'assistant:'))


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    parts = content if isinstance(content, list) else []
    return ''.join(
        part.get('text', '') for part in parts if isinstance(part, dict)
    )
