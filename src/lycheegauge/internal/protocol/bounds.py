"""Bounds of the numbers in documents from outside.

Code loops over such numbers, allocates by them, waits for them or sends them on to
other hosts, so each is checked where its document is read. ``docs/design-borders.md``
lists the readers.
"""

import math
import re
import typing

import pydantic

COUNT_MAX = 1_000_000
"""Largest number of things: slots, connections, attempts, experts."""

TOKENS_MAX = 1_000_000_000
"""Largest number of tokens of a prompt, an answer or an engine's memory."""

IDENTIFIER_MAX = 2**63 - 1
"""Largest number that only orders or identifies, such as a version; what the messages
between hosts can hold."""

RATE_MAX_PER_S = 1e6
WEIGHT_MAX = 1e9

DURATION_MAX_S = 1e6
DURATION_MAX_MS = 1000 * DURATION_MAX_S

Count = typing.Annotated[int, pydantic.Field(strict=True, ge=0, le=COUNT_MAX)]
TokenCount = typing.Annotated[int, pydantic.Field(strict=True, ge=0, le=TOKENS_MAX)]
Index = typing.Annotated[int, pydantic.Field(strict=True, ge=-1, le=COUNT_MAX)]
"""A position, or -1 for none."""

Identifier = typing.Annotated[int, pydantic.Field(strict=True, ge=0, le=IDENTIFIER_MAX)]
OptionalIdentifier = typing.Annotated[
    int, pydantic.Field(strict=True, ge=-1, le=IDENTIFIER_MAX)
]
"""An identifier, or -1 for none."""

Rate = typing.Annotated[
    float, pydantic.Field(ge=0, le=RATE_MAX_PER_S, allow_inf_nan=False)
]
"""Requests per second."""

Weight = typing.Annotated[
    float, pydantic.Field(ge=0, le=WEIGHT_MAX, allow_inf_nan=False)
]
Factor = typing.Annotated[
    float, pydantic.Field(ge=0, le=WEIGHT_MAX, allow_inf_nan=False)
]
DurationS = typing.Annotated[
    float, pydantic.Field(ge=0, le=DURATION_MAX_S, allow_inf_nan=False)
]
DurationMs = typing.Annotated[
    float, pydantic.Field(ge=0, le=DURATION_MAX_MS, allow_inf_nan=False)
]

_DECIMAL = re.compile(r"[0-9]{1,400}(\.[0-9]{0,400})?([eE][+-]?[0-9]{1,4})?")
_WHOLE = re.compile(r"[0-9]{1,15}")


def parse_decimal(text: str, most: float) -> float | None:
    """Reads a header's decimal number that is not negative.

    Returns:
        The number, at most ``most``; ``None`` if the text is not such a number.
    """
    if not _DECIMAL.fullmatch(text):
        return None
    return min(most, float(text))


def parse_duration_ms(text: str) -> float:
    """Reads a header's whole number of milliseconds.

    Returns:
        Seconds; infinite if the text is not such a number, or one so large that it
        does not limit anything.
    """
    return int(text) / 1000 if _WHOLE.fullmatch(text) else math.inf


def parse_count(text: str) -> int | None:
    """Reads a header's whole number of tokens.

    Returns:
        The number, at most ``TOKENS_MAX``; ``None`` if the text is not such a number.
    """
    return min(TOKENS_MAX, int(text)) if _WHOLE.fullmatch(text) else None
