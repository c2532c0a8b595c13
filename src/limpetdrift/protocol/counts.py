"""Parses counts in text that comes from outside the process."""

# Digits of the largest count that is accepted. ``int`` fails on thousands of
# digits, and on characters such as ``²`` that ``isdigit`` accepts.
_MAX_DIGITS = 15


def parse_count(text: str) -> int | None:
    """Parse a number of ASCII digits; return ``None`` if it is anything else.

    >>> parse_count(' 42 ')
    42
    >>> parse_count('²'), parse_count('-1'), parse_count('9' * 5000)
    (None, None, None)
    """
    digits = text.strip()
    if digits.isascii() and digits.isdigit() and len(digits) <= _MAX_DIGITS:
        return int(digits)
    return None
