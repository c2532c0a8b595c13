"""Types of numbers and texts from outside the process, with their bounds.

JSON has integers of any length and the largest floats. Sums and products of
such numbers overflow far from where they came in, so the decoder of a message
rejects them.
"""

import sys
from typing import Annotated

from msgspec import Meta

# Requests at one endpoint: more connections than a machine has ports for them.
MAX_REQUESTS = 1_000_000
# Tokens in one endpoint's memory: sums over a fleet stay exact as floats.
MAX_TOKENS = 1_000_000_000_000
# Slowdown of an endpoint. One that is as slow serves nothing.
MAX_PACE = 1_000_000.0
# Versions, eras and lifetimes: what other builds and stores take as well.
MAX_VERSION = sys.maxsize
# Eras of the store: once a larger one is taken, no answer is new.
MAX_ERA = 999_999_999_999
# Requests a second of one endpoint. A higher limit is none.
MAX_RATE = 1_000_000_000.0
# Seconds, costs and other measures, and counts: their products stay finite.
MAX_MEASURE = 1_000_000_000_000.0
MAX_COUNT = 1_000_000_000
# Characters of a name: names are labels of metrics and parts of heads.
MAX_NAME_LENGTH = 256

RequestCount = Annotated[int, Meta(ge=0, le=MAX_REQUESTS)]
TokenCount = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
Version = Annotated[int, Meta(ge=0, le=MAX_VERSION)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(gt=0, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_MEASURE)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_MEASURE)]
Rate = Annotated[float, Meta(ge=0, le=MAX_RATE)]
BoundedFloat = Annotated[float, Meta(ge=-MAX_MEASURE, le=MAX_MEASURE)]
BoundedInt = Annotated[int, Meta(ge=-MAX_VERSION, le=MAX_VERSION)]
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Pace = Annotated[float, Meta(ge=0, le=MAX_PACE)]


def is_header_text(name: str) -> bool:
    r"""Return whether a name can be sent as the value of a header.

    >>> [is_header_text(name) for name in ('i-1', '', 'i\n1', ' i', 'i\u0142')]
    [True, False, False, False, False]
    """
    return (
        0 < len(name) <= MAX_NAME_LENGTH
        and name.isascii()
        and name.isprintable()
        and name == name.strip()
    )
