"""HTTP interfaces through which engines report state and take map orders."""

import dataclasses
import json
import typing

import pydantic
from returns import result

from lycheegauge import errors
from lycheegauge.internal.protocol import bounds, maporders, nativedialect

NONE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """An HTTP call to an engine; a call without a body is a GET."""

    target: str
    body: bytes = b""


class EngineDialect(typing.Protocol):
    """Builds an agent's calls to an engine and parses the answers."""

    def make_report_call(self) -> EngineCall:
        """Builds the call for the engine's state."""

    def make_counts_call(self) -> EngineCall:
        """Builds the call for how often each expert was chosen."""

    def make_experts_call(self) -> EngineCall:
        """Builds the call for the experts that the rank holds."""

    def encode_order(self, order: maporders.MapOrder) -> EngineCall:
        """Builds the call that carries an order."""

    def parse_report(
        self, report: bytes, counts: bytes | None, experts: bytes | None
    ) -> result.Result[maporders.EngineReport, errors.BorderError]:
        """Parses the state, and ``counts`` and ``experts`` unless they are ``None``."""


_dialects: dict[str, EngineDialect] = {}


def register_dialect(
    name: str,
) -> typing.Callable[[type[EngineDialect]], type[EngineDialect]]:
    """Registers a dialect under the name by which settings select it."""

    def register(dialect_class: type[EngineDialect]) -> type[EngineDialect]:
        _dialects[name] = dialect_class()
        return dialect_class

    return register


def get_dialect(name: str) -> EngineDialect:
    """Returns a registered dialect.

    Raises:
        errors.SettingsError: No dialect has this name.
    """
    if name not in _dialects:
        known = ", ".join(sorted(_dialects))
        message = f"unknown engine dialect {name!r}; registered dialects: {known}"
        raise errors.SettingsError(message, "choose engine dialect")
    return _dialects[name]


_COUNTS_ADAPTER = pydantic.TypeAdapter(tuple[bounds.Identifier, ...])
_EXPERTS_ADAPTER = pydantic.TypeAdapter(tuple[tuple[bounds.Count, ...], ...])


class ReportModel(nativedialect.Model):
    """An engine's state in the native dialect."""

    server: str
    group: str
    epoch: bounds.Identifier
    rank: bounds.Index
    size: bounds.Count
    is_open: bool
    is_busy: bool = False
    pace: bounds.Factor = 1.0
    step: bounds.OptionalIdentifier
    map_version: bounds.Identifier = 0
    prepared_version: bounds.OptionalIdentifier = NONE
    armed_version: bounds.OptionalIdentifier = NONE
    armed_step: bounds.OptionalIdentifier = NONE
    held_step: bounds.OptionalIdentifier = NONE
    memory_used: bounds.Factor = 0.0


@register_dialect("native")
class NativeEngineDialect:
    """The native engine dialect."""

    def make_report_call(self) -> EngineCall:
        """Builds the call for the engine's state."""
        return EngineCall("/v1/rank")

    def make_counts_call(self) -> EngineCall:
        """Builds the call for how often each expert was chosen."""
        return EngineCall("/v1/rank/counts")

    def make_experts_call(self) -> EngineCall:
        """Builds the call for the experts that the rank holds."""
        return EngineCall("/v1/rank/experts")

    def encode_order(self, order: maporders.MapOrder) -> EngineCall:
        """Builds the call that carries an order."""
        document = {
            "kind": order.kind.value,
            "epoch": order.epoch,
            "fence": order.fence,
            "version": order.version,
            "step": order.step,
            "layers": [
                [rank.experts for rank in layer.ranks] for layer in order.layers
            ],
        }
        return EngineCall("/v1/rank/orders", json.dumps(document).encode())

    def parse_report(
        self, report: bytes, counts: bytes | None, experts: bytes | None
    ) -> result.Result[maporders.EngineReport, errors.BorderError]:
        """Parses the state, and ``counts`` and ``experts`` unless they are ``None``."""
        try:
            model = ReportModel.model_validate_json(report)
            chosen = _COUNTS_ADAPTER.validate_json(b"[]" if counts is None else counts)
            held = _EXPERTS_ADAPTER.validate_json(b"[]" if experts is None else experts)
        except pydantic.ValidationError as error:
            return nativedialect.make_failure(error, "read engine report")
        return result.Success(
            maporders.EngineReport(
                **model.model_dump(),
                counts=chosen,
                experts=tuple(maporders.RankExperts(layer) for layer in held),
            )
        )
