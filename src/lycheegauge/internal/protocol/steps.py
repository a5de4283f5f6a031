"""Models of the API through which a rank's engine asks its agent for steps."""

import typing

import pydantic

from lycheegauge.internal.protocol import calls

Step = typing.Annotated[int, pydantic.Field(ge=0, lt=2**63)]
Count = typing.Annotated[int, pydantic.Field(ge=0)]


class StepQuestion(calls.Model):
    """Asks to start a step; ``boot_id`` is the one that the engine announced."""

    step: Step
    boot_id: calls.Identifier


class WantedMap(calls.Model):
    """A map whose weights the engine must load and then report as loaded.

    ``experts`` are the missing (layer, expert) pairs.
    """

    version: Count
    epoch: Count
    experts: tuple[tuple[int, int], ...] = ()


class StepAnswer(calls.Model):
    """Permits the step to start with this map version."""

    step: Step
    map_version: Count
    epoch: Count
    wanted: WantedMap | None = None


class StepRefusal(calls.Model):
    """Refuses the step; ``reason`` is the class name of an error.

    ``next_step`` is the first permitted step after the requested one, or -1.
    """

    reason: str
    detail: str
    next_step: int = -1
    wanted: WantedMap | None = None


class LoadedReport(calls.Model):
    """Reports that an engine has loaded all weights of a wanted map."""

    version: Count
    epoch: Count
    boot_id: calls.Identifier


class LoadedAnswer(calls.Model):
    """``taken`` is false if another map has been requested in the meantime."""

    taken: bool
