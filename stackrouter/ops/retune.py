"""New settings at SIGHUP, without I/O: whether a file is accepted, and how its classes are merged with those
of open requests.

The operator documentation says: classes are added and removed, a class of the same name may get another
effect, the number of attempts may be reduced; clients use a new class 1.2 s after the signal, and open
requests keep their old rules. An invalid file (empty, truncated, a key missing, a deadline or attempts not
over 0) leaves the old settings unchanged. Classes are therefore kept in one table that only grows: the index
of an open request always refers to the rules under which it was taken, and a name is bound to its new index
some time after the signal (ops.class_names).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from rackseam.interface import Effect, RequestClass, Settings
from stackrouter.errors import ManyClassesError, RetuneKeyError, RetuneValueError
from stackrouter.ops.config_shape import Shape, differences

MAX_CLASSES = 256  # the table grows with the classes that files add; beyond this a file is rejected


def check(raw: Any, text: str, in_force: Shape | None = None) -> None:
    """Checks a changed file more strictly than the start does. Raises a RetuneError with the key and its
    line.

    `in_force`: the shape of the file in force, whose keys the new one must have; None: of unknown shape.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise RetuneKeyError("key is missing or not an object", line=_line(text, "settings"), key="settings")
    if in_force is not None:
        _check_shape(raw, text, in_force)
    settings = raw["settings"]
    profiles = settings.get("Profiles")
    if not isinstance(profiles, list) or not profiles:
        raise RetuneKeyError("key is missing or empty", line=_line(text, "Profiles"), key="Profiles")
    for nth, profile in enumerate(profiles):
        if not isinstance(profile, dict) or not isinstance(profile.get("Name"), str):
            raise RetuneKeyError("key is missing", line=_line(text, "Profiles"), key=f"Profiles[{nth}].Name")
        for key in ("HardLimitUs", "AimUs"):
            if key in profile or key == "HardLimitUs":
                _positive(profile.get(key), f"Profiles[{nth}].{key}", _line(text, key, nth))
        for key in _required_of(profile):
            if not isinstance(profile.get(key), str):
                raise RetuneKeyError(
                    "key is missing", line=_line(text, "Name", nth), key=f"Profiles[{nth}].{key}"
                )
    caps = settings.get("Caps") or {}
    if "MaxAttempts" in caps:
        _positive(caps["MaxAttempts"], "Caps.MaxAttempts", _line(text, "MaxAttempts"))


def merge(table: tuple[RequestClass, ...], new: Settings, names: Mapping[str, int], old: Mapping[str, int],
          writes_stated: bool) -> tuple[Settings, dict[str, int], set[int]]:  # fmt: skip
    """Merges the classes of new settings into the table of classes. Returns the new settings with the
    extended table, the index in it of each new name, and the indices of classes whose write flag is unknown.

    `names`: the new file's names with their index in `new.classes`; `old`: the current names with their index
    in `table`. `writes_stated`: FamilyInfo.ClassWrites has one flag for each class. If it has not (a file
    whose classes changed while the flags stayed, as seen in operation), a class keeps the flag of the old
    class of the same name, and the flag of a class with a new name is unknown: the front then accepts either
    command for it. A class equal to one in the table gets that index; any other is appended. Raises
    ManyClassesError if the table exceeds MAX_CLASSES.
    """
    classes, bound, unknown = list(table), {}, set()
    for name, index in names.items():
        request_class = new.classes[index]
        if not writes_stated:
            request_class = replace(request_class, writes=table[old[name]].writes if name in old else False)
        if request_class not in classes:
            classes.append(request_class)
        bound[name] = classes.index(request_class)
        if not writes_stated and name not in old:
            unknown.add(bound[name])
    if len(classes) > MAX_CLASSES:
        raise ManyClassesError(f"the changes since the start define more than {MAX_CLASSES} classes")
    return replace(new, classes=tuple(classes)), bound, unknown


def _required_of(profile: Mapping[str, Any]) -> tuple[str, ...]:
    """The keys of a class that decide on repeats, which have no default that is safe."""
    return ("Effect", "Group") if profile.get("Effect") == Effect.KEYED.value else ("Effect",)


def _check_shape(raw: Any, text: str, in_force: Shape) -> None:
    for lack in differences(in_force, raw):
        line, key = _line(text, lack.section), lack.path.removeprefix("settings.")
        if lack.missing:
            raise RetuneKeyError("key is missing, which the file in force has", line=line, key=key)
        raise RetuneValueError(f"must be {lack.kind.value}", line=line, key=key)


def _positive(value: Any, key: str, line: int) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise RetuneValueError(f"must be a number over 0, not {value!r}", line=line, key=key)


def _line(text: str, key: str, nth: int = 0) -> int:
    """The line number (from 1) of the key's occurrence with index `nth`; the last line if it is missing."""
    at = -1
    for _ in range(nth + 1):
        at = text.find(f'"{key}"', at + 1)
        if at < 0:
            return text.count("\n") + 1
    return text.count("\n", 0, at) + 1
