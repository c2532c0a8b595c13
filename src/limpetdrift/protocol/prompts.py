"""Computes sizes and prefix hashes of prompts in the same way as engines do."""

import xxhash

# Bytes of UTF-8 for each token.
TOKEN_BYTES = 4
# Size of the blocks in which engines cache prefixes.
BLOCK_BYTES = 1024
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
# Maximum number of blocks of a prompt that are hashed.
PREFIX_BLOCK_LIMIT = 256


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, rounded up.

    >>> count_tokens('hello')
    2
    """
    return -(-len(prompt.encode()) // TOKEN_BYTES)


def prefix_blocks(
    prompt: str,
    limit: int = PREFIX_BLOCK_LIMIT,
) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's first complete blocks.

    Two prompts that share their first *n* blocks share their first *n*
    hashes.
    """
    # A character takes at least one byte, so this number of characters
    # contains all the blocks.
    encoded = prompt[: limit * BLOCK_BYTES].encode()
    count = min(limit, len(encoded) // BLOCK_BYTES)
    hashes: list[int] = []
    previous = 0
    for index in range(count):
        start = index * BLOCK_BYTES
        block = encoded[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)
