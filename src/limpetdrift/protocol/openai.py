"""The callers' chat format and its errors, as frozen data.

The shapes follow the usual chat completion API, so that a client written for
it works unchanged. Our additions are the ``limpet`` objects and headers whose
names start with ``x-limpet-``.
"""

from dataclasses import dataclass, field
from typing import Any

from limpetdrift.protocol.verdict import Failure, Reason

KEY_HEADER = 'idempotency-key'
REPEATABLE_HEADER = 'x-limpet-repeatable'
URGENCY_HEADER = 'x-limpet-urgency'
DEADLINE_HEADER = 'x-limpet-deadline-seconds'
VERDICT_HEADER = 'x-limpet-verdict'
STREAM_HEADER = 'x-limpet-stream'
OFFSET_HEADER = 'x-limpet-offset'

DEFAULT_MAX_TOKENS = 256
TOO_LATE_STATUS = 504
UNAVAILABLE_STATUS = 503

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
    Reason.DEADLINE: TOO_LATE_STATUS,
    Reason.TIMEOUT: TOO_LATE_STATUS,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatMessage:
    """One message of a chat; ``content`` may be text or text parts."""

    role: str
    content: Any = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Resumption:
    """What an earlier, lost stream of the same request delivered."""

    start_offset: int = 0
    delivered: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatRequest:
    """The body of ``POST /v1/chat/completions``."""

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
    """An error in the callers' usual shape, with our verdict."""

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
    return STATUS_BY_REASON.get(failure.reason, UNAVAILABLE_STATUS)


def error_answer(failure: Failure) -> ErrorAnswer:
    """Put a failure into the callers' shape."""
    status = status_of(failure)
    kind = 'server_error'
    if status < STATUS_BY_REASON[Reason.INTERNAL]:
        kind = 'invalid_request_error'
    return ErrorAnswer(
        error=ErrorBody(
            message=failure.detail or failure.reason.value,
            type=kind,
            code=failure.reason.value,
            verdict=failure.verdict.value,
            retry_after_seconds=failure.retry_after_seconds,
            alternatives=failure.alternatives,
        ),
    )


def prompt_text(messages: tuple[ChatMessage, ...]) -> str:
    r"""Join the messages into the prompt that the engine reads.

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
