"""The shape of a configuration file, without I/O: which keys it has, and what kind of value each has.

A file that replaces the one in force must have at least its keys, since a key that is missing takes a default
that nobody chose: a class without its effect would count as one that may be repeated.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

# Keys that a file may have or not, by the wire protocol.
OPTIONAL_KEYS = frozenset(
    {"AimStretch", "BudgetFree", "FifoByKey", "Fleet", "KeyRestUs", "ResendRatio", "ResendSpanUs"}
)
OPAQUE_KEYS = frozenset({"known"})  # read at the start only, and as large as the fleet


class Kind(enum.Enum):
    """The kind of a value. The values are used in error messages."""

    OBJECT = "an object"
    OBJECTS = "a list of objects, at least one"
    LIST = "a list"
    NUMBER = "a number"
    TEXT = "a text"
    FLAG = "true or false"


@dataclass(frozen=True, slots=True)
class Shape:
    """The kind of a value and, for an object, its keys; for a list of objects, the keys that all have."""

    kind: Kind
    keys: Mapping[str, Shape] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Difference:
    """What a file lacks. `path`: of the key, such as `settings.Profiles[1].Effect`; `section`: the nearest
    key above it that the file has; `missing`: the key is missing or null, else its value is not of `kind`."""

    path: str
    section: str
    missing: bool
    kind: Kind


def shape_of(value: Any) -> Shape:
    """The shape of a value as parsed from JSON; it must not be null."""
    kind = _kind_of(value)
    if kind is Kind.OBJECT:
        return Shape(kind, _keys_of(value))
    if kind is Kind.OBJECTS:
        shapes = [_keys_of(element) for element in value]
        common = {key: shape for key, shape in shapes[0].items() if all(key in other for other in shapes)}
        return Shape(kind, common)
    return Shape(kind)


def differences(shape: Shape, value: Any, path: str = "", section: str = "") -> Iterator[Difference]:
    """What `value` lacks of `shape`, in the order of the shape's keys."""
    if value is None or _kind_of(value) is not shape.kind:
        yield Difference(path, section, value is None, shape.kind)
    elif shape.kind is Kind.OBJECT:
        yield from _differences_of_keys(shape, value, path, section)
    elif shape.kind is Kind.OBJECTS:
        for index, element in enumerate(value):
            yield from _differences_of_keys(shape, element, f"{path}[{index}]", section)


def _differences_of_keys(shape: Shape, value: Any, path: str, section: str) -> Iterator[Difference]:
    for key, wanted in shape.keys.items():
        inner = value.get(key)
        key_path = f"{path}.{key}" if path else key
        yield from differences(wanted, inner, key_path, section if inner is None else key)


def _keys_of(value: Mapping[str, Any]) -> dict[str, Shape]:
    return {
        key: Shape(_kind_of(inner)) if key in OPAQUE_KEYS else shape_of(inner)
        for key, inner in value.items()
        if inner is not None and key not in OPTIONAL_KEYS
    }


def _kind_of(value: Any) -> Kind:
    if isinstance(value, dict):
        return Kind.OBJECT
    if isinstance(value, list):
        return Kind.OBJECTS if value and all(isinstance(each, dict) for each in value) else Kind.LIST
    if isinstance(value, bool):
        return Kind.FLAG
    return Kind.NUMBER if isinstance(value, int | float) else Kind.TEXT
