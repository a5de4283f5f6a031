"""Models of the announcements that a backend server sends to its agent."""

import typing

import pydantic
from returns import result

from lycheegauge import errors, settings
from lycheegauge.internal.protocol import addresses, calls

COUNT_MAX = 1_000_000
"""Highest number of requests that a report may contain."""


class CacheChange(calls.Model):
    """A change of the prefix cache; a gap in ``sequence`` means lost events."""

    sequence: int = pydantic.Field(ge=0, lt=2**63)
    stored: tuple[calls.Identifier, ...] = pydantic.Field(default=(), max_length=1024)
    evicted: tuple[calls.Identifier, ...] = pydantic.Field(default=(), max_length=1024)


class Announcement(calls.Model):
    """A backend server's announcement of itself and its load.

    It is sent about once a second. ``boot_id`` changes at each start;
    ``capacity`` is in concurrent requests; ``report_age_s`` is the age of the
    load figures in seconds.
    """

    service: calls.Identifier
    engine: calls.Identifier
    address: addresses.ServerAddress
    boot_id: calls.Identifier
    capacity: int = pydantic.Field(ge=1, le=100_000)
    running: int = pydantic.Field(default=0, ge=0, le=COUNT_MAX)
    waiting: int = pydantic.Field(default=0, ge=0, le=COUNT_MAX)
    report_age_s: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
    cold: bool = False
    leaving: bool = False
    group: typing.Annotated[str, pydantic.Field(max_length=64)] = ""
    rank: int = pydantic.Field(default=-1, ge=-1, le=COUNT_MAX)
    cache_events: tuple[CacheChange, ...] = pydantic.Field(default=(), max_length=64)


class AnnouncementReply(calls.Model):
    """The agent accepted the announcement; the next is due within this time."""

    announce_again_s: float


class ErrorBody(calls.Model):
    """Error body for a malformed request: what is wrong and what is allowed."""

    detail: str
    step: str


def parse_announcement(
    text: bytes,
) -> result.Result[Announcement, errors.BorderError]:
    """Parses and validates a backend server's announcement."""
    try:
        return result.Success(Announcement.model_validate_json(text))
    except pydantic.ValidationError as error:
        message = settings.describe_problems(error, Announcement)
        return result.Failure(errors.BorderError(message, "read announcement"))
