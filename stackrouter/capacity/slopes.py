"""The file of measured series, docs/capacity/slopes.json: its types, and reading and writing it.

A series is one quantity measured at several sizes of one dimension. Every raw value is kept; fits are
computed from the medians (`fit.py`) and never stored.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from annotated_types import Ge, Gt, MinLen
from pydantic import TypeAdapter, ValidationError

from stackrouter.errors import CapacityFileError, OutputError

MIN_FIT_SIZES = 4  # a fit over fewer sizes does not show the shape


@dataclass(frozen=True, slots=True)
class Point:
    """All values measured at one size."""

    size: Annotated[float, Gt(0)]
    values: Annotated[tuple[float, ...], MinLen(1)]

    @property
    def median(self) -> float:
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity in `unit` by the number of `against`; `fixed`: conditions that are equal at all sizes."""

    name: str
    role: str
    what: str
    unit: str
    against: str
    points: Annotated[tuple[Point, ...], MinLen(MIN_FIT_SIZES)]
    fixed: Mapping[str, int | float | str]

    @property
    def sizes(self) -> tuple[float, ...]:
        return tuple(point.size for point in self.points)

    @property
    def medians(self) -> tuple[float, ...]:
        return tuple(point.median for point in self.points)

    @property
    def largest(self) -> Point:
        return max(self.points, key=lambda point: point.size)

    def at(self, size: float) -> float | None:
        """The median at a size; None if that size was not measured."""
        return next((point.median for point in self.points if point.size == size), None)


@dataclass(frozen=True, slots=True)
class Machine:
    """The machine and the commit on which the series were measured."""

    cores: Annotated[int, Ge(1)]
    python: str
    system: str
    commit: str
    date: str


@dataclass(frozen=True, slots=True)
class Slopes:
    """One run of `stackrouter bench capacity`."""

    machine: Machine
    series: tuple[Series, ...]

    def find_series(self, name: str) -> Series | None:
        return next((series for series in self.series if series.name == name), None)


_ADAPTER: TypeAdapter[Slopes] = TypeAdapter(Slopes)


def read(path: Path) -> Slopes:
    """Read the series of a file; CapacityFileError names the file and the invalid key."""
    try:
        slopes = _ADAPTER.validate_json(path.read_bytes())
    except OSError as error:
        raise CapacityFileError(error.strerror, file=path) from None
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise CapacityFileError(first["msg"], file=path, key=key) from None
    names = [series.name for series in slopes.series]
    for name in names:
        if names.count(name) > 1:
            raise CapacityFileError("occurs more than once", file=path, key=name)
    return slopes


def merge_with_file(path: Path, newer: Slopes) -> Slopes:
    """The series of the file, with those of the same name replaced by `newer`.

    CapacityFileError if commit or machine differ: one file has one of each."""
    older = read(path)
    for field in ("commit", "cores", "python", "system"):
        old_value, new_value = getattr(older.machine, field), getattr(newer.machine, field)
        if old_value != new_value:
            raise CapacityFileError(
                f"was {old_value} in the file, is {new_value} now: measure all series again",
                file=path,
                key=f"machine.{field}",
            )
    names = {series.name for series in newer.series}
    kept = tuple(series for series in older.series if series.name not in names)
    return Slopes(newer.machine, kept + newer.series)


def write(path: Path, slopes: Slopes) -> None:
    """Write the file; OutputError if that fails."""
    data = _ADAPTER.dump_json(slopes, indent=1) + b"\n"
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    except OSError as error:
        raise OutputError(error.strerror, file=path) from None
