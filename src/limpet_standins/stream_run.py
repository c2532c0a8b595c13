"""One stream on a stand-in engine: its progress and its result."""

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

    ``next_offset`` is the offset of the next token to decode.
    ``sequence_number`` breaks ties between equal priorities. ``changed`` is
    set, and replaced, whenever the stream progresses or ends.
    """

    start: StreamStart
    answer: Answer
    footprint: Footprint
    prefix: tuple[int, ...]
    sequence_number: int
    on_end: Callable[['StreamRun'], None]
    prompt_tokens: int
    cached_tokens: int
    remaining_prefill_tokens: int
    next_offset: int
    error: str = ''
    ended_at: float | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def queue_key(self) -> tuple[int, int]:
        """Sort key of the queue: the run with the lowest one runs first."""
        return (self.start.priority, self.sequence_number)

    @property
    def ended(self) -> bool:
        """Whether the stream has finished or failed."""
        return self.ended_at is not None

    def end(self, error: str = '') -> None:
        """Finish, or fail with an error; a second call has no effect."""
        if self.ended:
            return
        self.error = error
        self.ended_at = trio.current_time()
        self.on_end(self)
        self.notify()

    def notify(self) -> None:
        """Notify the tasks that wait for progress."""
        self.changed.set()
        self.changed = trio.Event()

    def token_line(self, offset: int) -> bytes:
        """Return the JSON line of the token at an offset."""
        text = self.answer.token(offset)
        return encode_line(
            {'stream_id': self.start.stream_id, 'offset': offset, 'text': text},
        )

    def last_line(self) -> bytes:
        """Return the JSON line that ends the stream: an error or its counts."""
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
