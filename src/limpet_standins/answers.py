"""Computes the answers of stand-in engines from model and prompt alone.

Every engine gives the same answer to the same prompt. So tests can compare
what a caller received with ``expected_text``, byte for byte:

>>> ''.join(expected_text('drift-small', 'hello', 2))[:1]
' '
"""

from dataclasses import dataclass

from xxhash import xxh64_hexdigest, xxh64_intdigest

# Without a limit an answer has 16 to 512 tokens.
_MIN_ANSWER_TOKENS = 16
_ANSWER_LENGTH_COUNT = 497
_TOKEN_HASH_CHARACTERS = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The complete answer to one prompt; token texts are computed on demand.

    ``seed`` is a hash of model and prompt. ``length`` is in tokens.
    ``finish`` is ``length`` if the limit cut the answer, else ``stop``.
    """

    seed: int
    length: int
    finish: str

    def token(self, index: int) -> str:
        """Return the text of the token at an offset from 0."""
        digest = xxh64_hexdigest(str(index).encode(), seed=self.seed)
        word = digest[:_TOKEN_HASH_CHARACTERS]
        return f' {word}'


def answer_for(model: str, prompt: str, max_tokens: int) -> Answer:
    """Return the answer that every engine gives to a prompt."""
    seed = xxh64_intdigest(
        prompt.encode(),
        seed=xxh64_intdigest(model.encode()),
    )
    unlimited_length = _MIN_ANSWER_TOKENS + seed % _ANSWER_LENGTH_COUNT
    return Answer(
        seed=seed,
        length=min(unlimited_length, max_tokens),
        finish='stop' if unlimited_length <= max_tokens else 'length',
    )


def expected_text(model: str, prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the text of each token of the answer, in order."""
    answer = answer_for(model, prompt, max_tokens)
    return tuple(answer.token(index) for index in range(answer.length))


def expected_finish(model: str, prompt: str, max_tokens: int) -> str:
    """Return the finish reason of the answer: ``stop`` or ``length``."""
    return answer_for(model, prompt, max_tokens).finish
