"""CBOR codec of the messages between instances."""

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
    """Bytes that are no known message.

    Parameters
    ----------
    reason : str
        What is wrong, with the class, field and type concerned.
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
    return cbor2.dumps(_tagged(message))


def decode(data: bytes) -> PeerMessage:
    """Return the message that ``data`` holds; ``DecodeError`` on anything else.

    A shorter array is taken when the missing fields have defaults, so that a field
    can be added at the end of a message while old and new instances talk.
    """
    return _message(_loads(data))


def encode_batch(messages: Iterable[PeerMessage]) -> bytes:
    """Return one frame with all ``messages`` in order."""
    return join([encode(message) for message in messages])


def join(encoded: Sequence[bytes]) -> bytes:
    """Return one frame with messages that are encoded already."""
    head = cbor2.dumps([None] * len(encoded))[: -len(encoded) or None]
    return head + b"".join(encoded)


def decode_batch(frame: bytes) -> DecodedBatch:
    """Return the messages of a frame; one unknown message spares the others."""
    plain = _loads(frame)
    if not isinstance(plain, list):
        raise DecodeError(f"frame is a {type(plain).__name__}, expected an array")
    messages: list[PeerMessage] = []
    errors: list[DecodeError] = []
    for each in plain:
        try:
            messages.append(_message(each))
        except DecodeError as error:
            errors.append(error)
    return DecodedBatch(tuple(messages), tuple(errors))


def _loads(data: bytes) -> object:
    try:
        return cbor2.loads(data)
    except Exception as error:  # cbor2 lets errors of its tag decoders through
        raise DecodeError(f"not CBOR: {error}") from error


def _message(plain: object) -> PeerMessage:
    message = _from_tagged(plain)
    if not isinstance(message, PeerMessage):
        raise DecodeError(f"{type(message).__name__} is not a message")
    return message


# Encoding


@functools.singledispatch
def _plain(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return _fields(value)
    return value


@_plain.register
def _plain_enum(value: enum.Enum) -> object:
    return value.value


@_plain.register
def _plain_tuple(value: tuple) -> object:
    return [_plain(each) for each in value]


@_plain.register
def _plain_duration(value: timedelta) -> object:
    return value.total_seconds()


def _fields(value: object) -> list[object]:
    encoders = _field_encoders(type(value))
    return [encode_field(getattr(value, name)) for name, encode_field in encoders]


def _tagged(value: object) -> object:
    if dataclasses.is_dataclass(value):
        return [type(value).__name__, *_fields(value)]
    return _plain(value)


@functools.cache
def _field_encoders(cls: type) -> tuple[tuple[str, Converter], ...]:
    hints = typing.get_type_hints(cls)
    return tuple(
        (field.name, _encoder(hints[field.name])) for field in dataclasses.fields(cls)
    )


def _encoder(hint: Any) -> Converter:
    if _needs_tag(hint):
        return _tagged
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple and any(map(_needs_tag, arguments)):
        return lambda value: [_tagged(each) for each in value]
    return _plain


def _needs_tag(hint: Any) -> bool:
    """Tell whether a value of this type must carry its class name."""
    if hint is PeerMessage:
        return True
    classes = [each for each in typing.get_args(hint) if _is_data_class(each)]
    return _is_union(hint) and len(classes) > 1


def _is_union(hint: Any) -> bool:
    return typing.get_origin(hint) in (typing.Union, types.UnionType)


def _is_data_class(hint: Any) -> bool:
    return isinstance(hint, type) and dataclasses.is_dataclass(hint)


# Decoding


def _from_tagged(plain: object) -> object:
    if not isinstance(plain, list) or not plain or not isinstance(plain[0], str):
        raise DecodeError("expected an array that starts with a class name")
    cls = _class_named(plain[0])
    return _construct(cls, plain[1:])


def _class_named(name: str) -> type:
    found = _classes_by_name.get(name)
    if found is None:
        _classes_by_name.update(message_classes())
        found = _classes_by_name.get(name)
    if found is None:
        raise DecodeError(f"unknown message class {name[:80]!r}")
    return found


_classes_by_name: dict[str, type] = {}


def message_classes() -> dict[str, type]:
    """Return the imported message classes by name; ``TypeError`` on equal names.

    A data class with slots replaces the class that it was made from, which may not
    have been collected yet; the later one counts.
    """
    found: dict[str, type] = {}
    for cls in message_types():
        if not dataclasses.is_dataclass(cls):
            continue
        earlier = found.get(cls.__name__, cls)
        if earlier.__module__ != cls.__module__:
            places = f"{earlier.__module__} and {cls.__module__}"
            raise TypeError(f"message {cls.__name__} is defined in {places}")
        found[cls.__name__] = cls
    return found


def _construct(cls: type, values: list[Any]) -> object:
    converters = _field_converters(cls)
    if not _required_fields(cls) <= len(values) <= len(converters):
        expected = len(converters)
        raise DecodeError(f"{cls.__name__} has {len(values)} fields, not {expected}")
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
        (field.name, _converter(hints[field.name])) for field in dataclasses.fields(cls)
    )


@functools.cache
def _required_fields(cls: type) -> int:
    missing = dataclasses.MISSING
    return sum(
        field.default is missing and field.default_factory is missing
        for field in dataclasses.fields(cls)
    )


def _converter(hint: Any) -> Converter:
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
        return functools.partial(_from_fields, hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return functools.partial(_to_enum, hint)
    if hint is timedelta:
        return _to_duration
    return functools.partial(_exact, hint)


def _exact(cls: type, value: Any) -> Any:
    if type(value) is cls:
        return value
    if cls is float and type(value) is int:
        return float(value)
    raise DecodeError(f"{type(value).__name__} in place of {cls.__name__}")


def _from_fields(cls: type, value: Any) -> object:
    if not isinstance(value, list):
        raise DecodeError(f"{type(value).__name__} in place of {cls.__name__}")
    return _construct(cls, value)


def _to_enum(cls: type[enum.Enum], value: Any) -> enum.Enum:
    try:
        return cls(value)
    except (TypeError, ValueError):
        raise DecodeError(f"no member of {cls.__name__}") from None


def _to_duration(value: Any) -> timedelta:
    try:
        return timedelta(seconds=_exact(float, value))
    except (OverflowError, ValueError) as error:
        raise DecodeError(f"no duration: {error}") from error


def _tagged_converter(hint: Any) -> Converter:
    if hint is PeerMessage:
        return _message
    others = tuple(each for each in typing.get_args(hint) if not _is_data_class(each))
    classes = {each.__name__: each for each in typing.get_args(hint)}

    def convert(value: Any) -> object:
        named = isinstance(value, list) and value and isinstance(value[0], str)
        if named and value[0] in classes:
            return _construct(classes[value[0]], value[1:])
        return _union_converter(others)(value)

    return convert


def _union_converter(hints: tuple[Any, ...]) -> Converter:
    converters = [_converter(each) for each in hints]

    def convert(value: Any) -> object:
        for each in converters:
            try:
                return each(value)
            except DecodeError:
                continue
        raise DecodeError(f"{type(value).__name__} fits none of its types")

    return convert


def _tuple_converter(hints: tuple[Any, ...]) -> Converter:
    if len(hints) == 2 and hints[1] is Ellipsis:
        item = _converter(hints[0])
        return lambda value: tuple(item(each) for each in _array(value))
    converters = [_converter(each) for each in hints]

    def convert(value: Any) -> tuple[Any, ...]:
        values = _array(value)
        if len(values) != len(converters):
            raise DecodeError(f"{len(values)} items, not {len(converters)}")
        pairs = zip(converters, values, strict=True)
        return tuple(item(each) for item, each in pairs)

    return convert


def _array(value: Any) -> list[Any]:
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
