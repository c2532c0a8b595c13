"""What the stand-in engines answer, defined by model and prompt alone.

Tests compare what a caller received with ``expected_text``, byte for byte:

>>> ''.join(expected_text('drift-small', 'hello', 2))[:1]
' '
"""

from dataclasses import dataclass

from xxhash import xxh64_hexdigest, xxh64_intdigest

_SHORTEST_TOKENS = 16
_LENGTH_SPREAD_TOKENS = 497
_WORD_CHARACTERS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """One prompt's whole answer; its texts are worked out on demand.

    ``length`` counts tokens; ``finish`` is ``stop`` or ``length``.
    """

    seed: int
    length: int
    finish: str

    def token(self, index: int) -> str:
        """Return the text of the token at that offset."""
        digest = xxh64_hexdigest(str(index).encode(), seed=self.seed)
        word = digest[:_WORD_CHARACTERS]
        return f' {word}'


def answer_for(model: str, prompt: str, max_tokens: int) -> Answer:
    """Return the answer that every engine gives to this prompt."""
    seed = xxh64_intdigest(
        prompt.encode(),
        seed=xxh64_intdigest(model.encode()),
    )
    natural = _SHORTEST_TOKENS + seed % _LENGTH_SPREAD_TOKENS
    return Answer(
        seed=seed,
        length=min(natural, max_tokens),
        finish='stop' if natural <= max_tokens else 'length',
    )


def expected_text(model: str, prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the text of each token of the answer, in order."""
    answer = answer_for(model, prompt, max_tokens)
    return tuple(answer.token(index) for index in range(answer.length))


def expected_finish(model: str, prompt: str, max_tokens: int) -> str:
    """Return ``stop`` or ``length``: how the answer ends."""
    return answer_for(model, prompt, max_tokens).finish
