"""Sizes and prefixes of prompts, as the engines count them."""

import xxhash

TOKEN_BYTES = 4
BLOCK_BYTES = 1024
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
PREFIX_BLOCK_LIMIT = 256


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt.

    >>> count_tokens('hello')
    2
    """
    return -(-len(prompt.encode()) // TOKEN_BYTES)


def prefix_blocks(
    prompt: str,
    limit: int = PREFIX_BLOCK_LIMIT,
) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's first whole blocks.

    Two prompts that share their first *n* blocks share their first *n*
    hashes.
    """
    # A character takes at least one byte, so this many hold all the blocks.
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
