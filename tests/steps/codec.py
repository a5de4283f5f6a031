import dataclasses
import importlib
import pkgutil

import behave
import hypothesis
from hypothesis import strategies

from lycheegauge import errors
from lycheegauge.internal import protocol
from lycheegauge.internal.protocol import codec

# These modules hold JSON documents and internal types without generated messages.
NON_MESSAGE_MODULES = {"operations", "routetables", "controlcalls", "nativedialect",
    "enginedialects",
}  # fmt: skip
MODULES = [
    importlib.import_module(f"{protocol.__name__}.{item.name}")
    for item in pkgutil.iter_modules(protocol.__path__)
    if item.name not in NON_MESSAGE_MODULES
]
INTERNAL_CLASSES = {
    "Send", "Persist", "Apply", "Restore", "ProposalDone", "ReadDone", "StoredState",
    "FieldConversion",
}  # fmt: skip

strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**63 - 1))
strategies.register_type_strategy(float, strategies.floats(allow_nan=False))


def list_message_classes():
    return [
        value
        for module in MODULES
        for value in vars(module).values()
        if dataclasses.is_dataclass(value)
        and value.__module__ == module.__name__
        and value.__name__ not in INTERNAL_CLASSES
    ]


@behave.then("every message class is unchanged after packing and unpacking")
def check_round_trips(context):
    @hypothesis.settings(max_examples=1000)
    @hypothesis.given(
        strategies.sampled_from(list_message_classes()).flatmap(strategies.from_type)
    )
    def check(message):
        assert codec.unpack(codec.pack(message)) == message

    check()


@behave.then("unpacking arbitrary bytes gives a message or a border error")
def check_arbitrary_bytes(context):
    @hypothesis.given(strategies.binary(max_size=64))
    @hypothesis.example(b"\n\x05Voter\x12\x02\n\x05")
    def check(serialized):
        try:
            codec.unpack(serialized)
        except errors.BorderError:
            pass

    check()
