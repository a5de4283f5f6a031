"""The replicated state machine: applies committed changes in log order.

The state consists of parts (configurations, claims, quarantine, epochs). Each
part registers the kinds of change that it applies, so that a part can be added
without a change to this module.
"""

import collections.abc
import typing

from lycheegauge.internal.protocol import changes, codec


class Part(typing.Protocol):
    """One part of the replicated state.

    A part is deterministic: the same changes in the same order produce the same
    state and outcomes on every replica. It uses no clock and no random numbers.
    """

    def apply(self, change: typing.Any) -> changes.Outcome:
        """Applies one committed change and returns its outcome.

        ``change`` is of a kind that the part was registered for. It is typed
        ``Any`` because a part annotates only these kinds, which a parameter of type
        ``changes.Change`` would not allow.
        """

    def dump(self) -> bytes:
        """Returns the serialized state of the part for a snapshot."""

    def load(self, body: bytes) -> None:
        """Replaces the state of the part with one that ``dump`` returned."""


_part_classes: dict[str, type[Part]] = {}
_part_names: dict[type, str] = {}

PartClass = typing.TypeVar("PartClass", bound=type[Part])


def register_part(
    name: str, *kinds: type
) -> collections.abc.Callable[[PartClass], PartClass]:
    """Registers a part and the kinds of change that it applies."""

    def register(part_class: PartClass) -> PartClass:
        _part_classes[name] = part_class
        for kind in kinds:
            _part_names[kind] = name
        return part_class

    return register


class StateMachine:
    """Holds one instance of each registered part."""

    def __init__(self) -> None:
        self.parts = {name: build() for name, build in _part_classes.items()}

    def apply(self, payload: bytes) -> bytes:
        """Applies a serialized change and returns its serialized outcome.

        Raises:
            errors.BorderError: The payload is not a known change.
        """
        change = codec.unpack(payload)
        part = self.parts[_part_names[type(change)]]
        return codec.pack(part.apply(change))

    def take_snapshot(self) -> bytes:
        """Returns the whole state, serialized."""
        dumped = tuple(
            changes.PartSnapshot(name, part.dump())
            for name, part in sorted(self.parts.items())
        )
        return codec.pack(changes.StateSnapshot(dumped))

    def restore(self, serialized: bytes) -> None:
        """Replaces the whole state with that of a snapshot.

        Raises:
            errors.BorderError: The bytes are not a snapshot.
        """
        self.parts = {name: build() for name, build in _part_classes.items()}
        for part in codec.unpack(serialized).parts:
            self.parts[part.name].load(part.body)
