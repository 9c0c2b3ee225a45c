"""CBOR codec for the messages between instances."""

import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from typing import Any

import cbor2

from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.peer import PeerMessage, message_types

Converter = Callable[[Any], Any]


class DecodeError(CoordinationError):
    """The bytes are not a known message.

    Parameters
    ----------
    reason : str
        The error, with the class, field and type concerned.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason, step="decode")
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedBatch:
    """The messages of a frame, and the errors of those that did not decode."""

    messages: tuple[PeerMessage, ...]
    errors: tuple[DecodeError, ...] = ()


def encode(message: PeerMessage) -> bytes:
    """Return ``message`` as a CBOR array of its class name and its fields."""
    return cbor2.dumps(_encode_tagged(message))


def decode(data: bytes) -> PeerMessage:
    """Return the message in ``data``, or raise ``DecodeError``.

    A shorter array is accepted if the missing fields have defaults, so that a field
    can be added at the end of a message while old and new instances run together.
    """
    return _decode_message(_loads(data))


def encode_batch(messages: Iterable[PeerMessage]) -> bytes:
    """Return one frame with all ``messages`` in order."""
    return join_encoded([encode(message) for message in messages])


def join_encoded(encoded: Sequence[bytes]) -> bytes:
    """Return one frame with messages that are already encoded."""
    head = cbor2.dumps([None] * len(encoded))[: -len(encoded) or None]
    return head + b"".join(encoded)


def decode_batch(frame: bytes) -> DecodedBatch:
    """Return the messages of a frame, and an error for each invalid one."""
    raw = _loads(frame)
    if not isinstance(raw, list):
        raise DecodeError(f"frame is a {type(raw).__name__}, expected an array")
    messages: list[PeerMessage] = []
    errors: list[DecodeError] = []
    for each in raw:
        try:
            messages.append(_decode_message(each))
        except DecodeError as error:
            errors.append(error)
    return DecodedBatch(tuple(messages), tuple(errors))


def _loads(data: bytes) -> object:
    try:
        return cbor2.loads(data)
    except Exception as error:  # tag decoders of cbor2 raise other errors too
        raise DecodeError(f"not CBOR: {error}") from error


def _decode_message(raw: object) -> PeerMessage:
    message = _decode_tagged(raw)
    if not isinstance(message, PeerMessage):
        raise DecodeError(f"{type(message).__name__} is not a message")
    return message


# Encoding


@functools.singledispatch
def _encode_value(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return _encode_fields(value)
    return value


@_encode_value.register
def _encode_enum(value: enum.Enum) -> object:
    return value.value


@_encode_value.register
def _encode_tuple(value: tuple) -> object:
    return [_encode_value(each) for each in value]


@_encode_value.register
def _encode_duration(value: timedelta) -> object:
    return value.total_seconds()


def _encode_fields(value: object) -> list[object]:
    encoders = _field_encoders(type(value))
    return [encode_field(getattr(value, name)) for name, encode_field in encoders]


def _encode_tagged(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return [type(value).__name__, *_encode_fields(value)]
    return _encode_value(value)


@functools.cache
def _field_encoders(cls: type) -> tuple[tuple[str, Converter], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, _encoder_for(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


def _encoder_for(hint: Any) -> Converter:
    if _needs_tag(hint):
        return _encode_tagged
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and any(map(_needs_tag, arguments)):
        return lambda value: [_encode_tagged(each) for each in value]
    return _encode_value


def _needs_tag(hint: Any) -> bool:
    """Return whether values of this type are encoded with their class name."""
    if hint is PeerMessage:
        return True
    classes = [each for each in typing.get_args(hint) if _is_data_class(each)]
    return _is_union(hint) and len(classes) > 1


def _is_union(hint: Any) -> bool:
    return typing.get_origin(hint) in (typing.Union, types.UnionType)


def _is_data_class(hint: Any) -> bool:
    return isinstance(hint, type) and dataclasses.is_dataclass(hint)


# Decoding


def _decode_tagged(raw: object) -> object:
    if not isinstance(raw, list) or not raw or not isinstance(raw[0], str):
        raise DecodeError("expected an array that starts with a class name")
    cls = _find_class(raw[0])
    return _construct(cls, raw[1:])


def _find_class(name: str) -> type:
    cls = _classes_by_name.get(name)
    if cls is None:
        _classes_by_name.update(message_classes())
        cls = _classes_by_name.get(name)
    if cls is None:
        raise DecodeError(f"unknown message class {name[:80]!r}")
    return cls


_classes_by_name: dict[str, type] = {}


def message_classes() -> dict[str, type]:
    """Return the imported message classes by name; ``TypeError`` on duplicates.

    A data class with slots is a copy of the decorated class, which may not have been
    garbage-collected yet; the later one is used.
    """
    classes_by_name: dict[str, type] = {}
    for cls in message_types():
        if not dataclasses.is_dataclass(cls):
            continue
        earlier = classes_by_name.get(cls.__name__, cls)
        if earlier.__module__ != cls.__module__:
            places = f"{earlier.__module__} and {cls.__module__}"
            raise TypeError(f"message {cls.__name__} is defined in {places}")
        classes_by_name[cls.__name__] = cls
    return classes_by_name


def _construct(cls: type, values: list[Any]) -> object:
    converters = _field_converters(cls)
    if not _required_field_count(cls) <= len(values) <= len(converters):
        expected = len(converters)
        raise DecodeError(
            f"{cls.__name__} has {len(values)} fields, expected {expected}"
        )
    arguments = []
    for (name, convert), value in zip(converters, values, strict=False):
        try:
            arguments.append(convert(value))
        except DecodeError as error:
            raise DecodeError(f"{cls.__name__}.{name}: {error.reason}") from None
    try:
        return cls(*arguments)
    except (TypeError, ValueError) as error:
        raise DecodeError(f"{cls.__name__}: {error}") from error


@functools.cache
def _field_converters(cls: type) -> tuple[tuple[str, Converter], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, _converter_for(hints[field.name]))
        for field in dataclasses.fields(cls)
    )


@functools.cache
def _required_field_count(cls: type) -> int:
    missing = dataclasses.MISSING
    return sum(
        field.default is missing and field.default_factory is missing
        for field in dataclasses.fields(cls)
    )


def _converter_for(hint: Any) -> Converter:
    if hint is Any:
        return lambda value: value
    if _needs_tag(hint):
        return _tagged_converter(hint)
    if _is_union(hint):
        return _union_converter(typing.get_args(hint))
    if typing.get_origin(hint) is tuple:
        return _tuple_converter(typing.get_args(hint))
    if typing.get_origin(hint) is typing.Literal:
        return _literal_converter(typing.get_args(hint))
    if _is_data_class(hint):
        return functools.partial(_decode_fields, hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return functools.partial(_decode_enum, hint)
    if hint is timedelta:
        return _decode_duration
    return functools.partial(_check_type, hint)


def _check_type(cls: type, value: Any) -> Any:
    if type(value) is cls:
        return value
    if cls is float and type(value) is int:
        return float(value)
    raise DecodeError(f"{type(value).__name__} in place of {cls.__name__}")


def _decode_fields(cls: type, value: Any) -> object:
    if not isinstance(value, list):
        raise DecodeError(f"{type(value).__name__} in place of {cls.__name__}")
    return _construct(cls, value)


def _decode_enum(cls: type[enum.Enum], value: Any) -> enum.Enum:
    try:
        return cls(value)
    except (TypeError, ValueError):
        raise DecodeError(f"value is not a member of {cls.__name__}") from None


def _decode_duration(value: Any) -> timedelta:
    try:
        return timedelta(seconds=_check_type(float, value))
    except (OverflowError, ValueError) as error:
        raise DecodeError(f"invalid duration: {error}") from error


def _tagged_converter(hint: Any) -> Converter:
    if hint is PeerMessage:
        return _decode_message
    others = tuple(each for each in typing.get_args(hint) if not _is_data_class(each))
    classes = {each.__name__: each for each in typing.get_args(hint)}

    def convert(value: Any) -> object:
        tagged = isinstance(value, list) and value and isinstance(value[0], str)
        if tagged and value[0] in classes:
            return _construct(classes[value[0]], value[1:])
        return _union_converter(others)(value)

    return convert


def _union_converter(hints: tuple[Any, ...]) -> Converter:
    converters = [_converter_for(each) for each in hints]

    def convert(value: Any) -> object:
        for each in converters:
            try:
                return each(value)
            except DecodeError:
                continue
        raise DecodeError(f"{type(value).__name__} matches none of the allowed types")

    return convert


def _tuple_converter(hints: tuple[Any, ...]) -> Converter:
    if len(hints) == 2 and hints[1] is Ellipsis:
        item = _converter_for(hints[0])
        return lambda value: tuple(item(each) for each in _check_array(value))
    converters = [_converter_for(each) for each in hints]

    def convert(value: Any) -> tuple[Any, ...]:
        values = _check_array(value)
        if len(values) != len(converters):
            raise DecodeError(f"{len(values)} items, expected {len(converters)}")
        pairs = zip(converters, values, strict=True)
        return tuple(item(each) for item, each in pairs)

    return convert


def _check_array(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise DecodeError(f"{type(value).__name__} in place of an array")
    return value


def _literal_converter(allowed: tuple[Any, ...]) -> Converter:
    def convert(value: Any) -> Any:
        for each in allowed:
            if type(value) is type(each) and value == each:
                return each
        raise DecodeError(f"value is not one of {allowed}")

    return convert
