"""New settings at SIGHUP, decided without I/O: whether a file may be taken, and how its classes join
those already open.

From the operators' page: classes are added and dropped, a class of the same name may have another effect,
attempts may become fewer; clients use a new class 1.2 s after the signal, and open requests keep their old
rules. A broken file (empty, cut off, a key missing, a deadline or attempts not over 0) leaves the old
settings whole. Classes are therefore kept in one table that only grows: an open request's index always
names the rules it came in under, and a name is bound to its new index `BIND_S` after the signal.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from rackseam.interface import RequestClass, Settings
from stackrouter.errors import ManyClassesError, RetuneKeyError, RetuneValueError

BIND_S = 1.2  # from the signal until clients send the new classes
MOST_CLASSES = 256  # the table of classes grows by what files add; past this a file is refused


def check(raw: Any, text: str) -> None:
    """What the start tolerates but a change of settings may not: raises a RetuneError naming key and line."""
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise RetuneKeyError("key is missing or not an object", line=_line(text, "settings"), key="settings")
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
    caps = settings.get("Caps") or {}
    if "MaxAttempts" in caps:
        _positive(caps["MaxAttempts"], "Caps.MaxAttempts", _line(text, "MaxAttempts"))


def merge(table: tuple[RequestClass, ...], new: Settings, names: Mapping[str, int], old: Mapping[str, int],
          writes_stated: bool) -> tuple[Settings, dict[str, int], set[int]]:  # fmt: skip
    """The new settings over the grown table of classes, each new name's index in it, and the indices whose
    write flag nobody stated.

    `names`: the new file's names by their index in `new.classes`; `old`: the names in force, by index in
    `table`. `writes_stated`: FamilyInfo.ClassWrites has one flag for each class. Where it has not (a file
    whose classes changed while the flags stayed, as seen on the operators' days), a class keeps the flag of
    the old class of its name, and one with a new name is unknown: the front then takes either command for
    it. A class equal to one in the table takes that index; another is added at the end. ManyClassesError:
    past MOST_CLASSES.
    """
    classes, bound, unknown = list(table), {}, set()
    for name, index in names.items():
        cls = new.classes[index]
        if not writes_stated:
            cls = replace(cls, writes=table[old[name]].writes if name in old else False)
        if cls not in classes:
            classes.append(cls)
        bound[name] = classes.index(cls)
        if not writes_stated and name not in old:
            unknown.add(bound[name])
    if len(classes) > MOST_CLASSES:
        raise ManyClassesError(f"more than {MOST_CLASSES} classes over the changes since the start")
    return replace(new, classes=tuple(classes)), bound, unknown


def _positive(value: Any, key: str, line: int) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise RetuneValueError(f"must be a number over 0, not {value!r}", line=line, key=key)


def _line(text: str, key: str, nth: int = 0) -> int:
    """The line of the key's nth mention in the file, 1 first; where it is missing, the file's last."""
    at = -1
    for _ in range(nth + 1):
        at = text.find(f'"{key}"', at + 1)
        if at < 0:
            return text.count("\n") + 1
    return text.count("\n", 0, at) + 1
