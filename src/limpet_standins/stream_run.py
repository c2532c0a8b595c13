"""One stream on an engine: how far it is, and who waits for it."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from limpet_standins.answers import Answer
from limpet_standins.engine_messages import StreamStart
from limpet_standins.kv_memory import Footprint
from limpetdrift.protocol.codec import encode_line


@dataclass(kw_only=True, slots=True)
class StreamRun:
    """A stream's work and progress.

    ``produced`` is the offset of the next token. ``order`` breaks ties
    between equal priorities.
    """

    start: StreamStart
    answer: Answer
    footprint: Footprint
    prefix: tuple[int, ...]
    sequence_number: int
    on_end: Callable[['StreamRun'], None]
    prompt_tokens: int
    cached_tokens: int
    prefill_left: int
    produced: int
    error: str = ''
    ended_at: float | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def rank(self) -> tuple[int, int]:
        """What runs first has the lowest rank."""
        return (self.start.priority, self.sequence_number)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.ended_at is not None

    def end(self, error: str = '') -> None:
        """Finish, or fail with an error."""
        if self.ended:
            return
        self.error = error
        self.ended_at = trio.current_time()
        self.on_end(self)
        self.notify()

    def notify(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = trio.Event()

    def token_line(self, offset: int) -> bytes:
        """Return the line of one token."""
        text = self.answer.token(offset)
        return encode_line(
            {'stream_id': self.start.stream_id, 'offset': offset, 'text': text},
        )

    def last_line(self) -> bytes:
        """Return the line that ends the stream."""
        if self.error:
            return encode_line(
                {'stream_id': self.start.stream_id, 'error': self.error},
            )
        return encode_line(
            {
                'stream_id': self.start.stream_id,
                'finish': self.answer.finish,
                'prompt_tokens': self.prompt_tokens,
                'cached_tokens': self.cached_tokens,
                'completion_tokens': self.answer.length,
                'offset': self.answer.length,
            },
        )
