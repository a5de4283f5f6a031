"""Converts the internal data classes to and from the generated messages.

A data class and its protobuf message have the same name and field names, so one
generic conversion over the fields serves all of them. Hand-written converters
would need two functions per message, and a forgotten field would be lost without
an error; here a missing field fails at the first use.
"""

import collections.abc
import dataclasses
import enum
import functools
import importlib
import pkgutil
import sys
import types
import typing

from google.protobuf import message as protobuf_message

from lycheegauge import errors
from lycheegauge.internal import protocol
from lycheegauge.internal.protocol import generated
from lycheegauge.internal.protocol.generated import services_pb2

SHARED_MESSAGES_MAX = 64
"""Number of shared items whose encoding is kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class FieldConversion:
    """How one field of a data class is converted.

    Attributes:
        name: The field's name in the data class and in the message.
        value_type: The data class, enumeration or scalar type of the value or items.
        repeated: Whether the field is a tuple of values.
        optional: Whether the field may be ``None``.
        is_message: Whether the value or items are data classes.
        is_enum: Whether the value or items are members of an enumeration.
    """

    name: str
    value_type: type
    repeated: bool
    optional: bool
    is_message: bool
    is_enum: bool


def encode(value: typing.Any) -> typing.Any:
    """Converts a data class instance to its generated message."""
    data_class: typing.Any = type(value)
    message = find_message_class(data_class.__name__)()
    for field in list_fields(data_class):
        content = getattr(value, field.name)
        if field.repeated:
            getattr(message, field.name).extend(_encode_items(field, content))
        elif field.is_message:
            if content is not None:
                getattr(message, field.name).CopyFrom(encode(content))
        else:
            setattr(message, field.name, _encode_scalar(content))
    return message


def decode(message: typing.Any) -> typing.Any:
    """Converts a generated message to its data class.

    Raises:
        errors.BorderError: A field has a value that its type does not allow.
    """
    data_class = find_data_class(message.DESCRIPTOR.name)
    values: dict[str, typing.Any] = {}
    for field in list_fields(data_class):
        content = getattr(message, field.name)
        if field.repeated:
            values[field.name] = _decode_items(field, content)
        elif field.optional and not message.HasField(field.name):
            values[field.name] = None
        else:
            values[field.name] = _decode_value(field, content)
    return data_class(**values)


def pack(value: typing.Any) -> bytes:
    """Serializes a data class instance together with its class name."""
    serialized: bytes = wrap(value).SerializeToString()
    return serialized


def wrap(value: typing.Any) -> services_pb2.Packed:
    """Builds the message that carries a data class instance and its class name."""
    return services_pb2.Packed(
        kind=type(value).__name__, body=encode(value).SerializeToString()
    )


def unpack(serialized: bytes) -> typing.Any:
    """Deserializes the output of ``pack``.

    Raises:
        errors.BorderError: The bytes are not a packed message of a known class.
    """
    try:
        return unwrap(services_pb2.Packed.FromString(serialized))
    except (protobuf_message.DecodeError, KeyError) as error:
        raise errors.BorderError(
            f"cannot decode packed message: {error}", "decode"
        ) from error


def wrap_batch(values: collections.abc.Iterable[typing.Any]) -> typing.Any:
    """Builds the message that carries several data class instances in order."""
    return services_pb2.PackedBatch(messages=[wrap(value) for value in values])


def unwrap(packed: services_pb2.Packed) -> typing.Any:
    """Decodes the output of ``wrap``.

    Raises:
        KeyError: No message has this name.
        google.protobuf.message.DecodeError: The body is not a valid message.
    """
    return decode(find_message_class(packed.kind).FromString(packed.body))


def _encode_items(
    field: FieldConversion, content: collections.abc.Sequence[typing.Any]
) -> collections.abc.Sequence[typing.Any]:
    if field.is_message:
        is_shared = getattr(field.value_type, "IS_SHARED", False)
        return [_encode_shared(item) if is_shared else encode(item) for item in content]
    if field.is_enum:
        return [item.value for item in content]
    return content


@functools.lru_cache(maxsize=SHARED_MESSAGES_MAX)
def _encode_shared(value: typing.Any) -> typing.Any:
    """Encodes an item that many messages contain; the result must not be changed."""
    return encode(value)


def _decode_items(
    field: FieldConversion, content: collections.abc.Iterable[typing.Any]
) -> tuple[typing.Any, ...]:
    if field.is_message or field.is_enum:
        return tuple(_decode_value(field, item) for item in content)
    # Counts of experts are thousands of numbers in one message.
    return tuple(content)


def _encode_scalar(content: typing.Any) -> typing.Any:
    return content.value if isinstance(content, enum.Enum) else content


def _decode_value(field: FieldConversion, content: typing.Any) -> typing.Any:
    if field.is_message:
        return decode(content)
    if field.is_enum:
        try:
            return field.value_type(content)
        except ValueError as error:
            raise errors.BorderError(f"{field.name}: {error}", "decode") from error
    return content


@functools.cache
def list_fields(data_class: typing.Any) -> tuple[FieldConversion, ...]:
    """Describes how to convert each field of a data class."""
    hints = typing.get_type_hints(data_class)
    return tuple(
        _describe_field(field.name, hints[field.name])
        for field in dataclasses.fields(data_class)
    )


def _describe_field(name: str, hint: typing.Any) -> FieldConversion:
    arguments = typing.get_args(hint)
    repeated = typing.get_origin(hint) is tuple
    optional = isinstance(hint, types.UnionType)
    value_type = hint
    if repeated:
        value_type = arguments[0]
    elif optional:
        value_type = next(item for item in arguments if item is not types.NoneType)
    return FieldConversion(
        name,
        value_type,
        repeated,
        optional,
        dataclasses.is_dataclass(value_type),
        issubclass(value_type, enum.Enum),
    )


@functools.cache
def find_message_class(name: str) -> typing.Any:
    """Finds the generated message class with this name.

    Raises:
        KeyError: There is none.
    """
    for module in _iterate_modules(generated):
        if module.__name__.endswith("_pb2") and hasattr(module, name):
            return getattr(module, name)
    raise KeyError(name)


@functools.cache
def find_data_class(name: str) -> typing.Any:
    """Finds the data class with this name.

    Raises:
        KeyError: There is none.
    """
    for module in _iterate_modules(protocol):
        found = getattr(module, name, None)
        if dataclasses.is_dataclass(found) and found.__module__ == module.__name__:
            return found
    raise KeyError(name)


def _iterate_modules(
    package: types.ModuleType,
) -> collections.abc.Iterator[types.ModuleType]:
    """Yields the modules of a package, already imported ones first.

    A message from a module that is not yet imported is rare. Importing all modules
    would add some hundredths of a second to a host's start, during which callers
    wait.
    """
    names = [
        f"{package.__name__}.{item.name}"
        for item in pkgutil.iter_modules(package.__path__)
    ]
    for name in sorted(names, key=lambda name: name not in sys.modules):
        yield importlib.import_module(name)
