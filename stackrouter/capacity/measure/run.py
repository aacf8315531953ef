"""Runs measurements one point after the other and collects their series."""

from __future__ import annotations

import datetime
import json
import os
import platform
import subprocess
import sys
from collections.abc import Callable, Sequence

from stackrouter.capacity.measure.plan import Measurement
from stackrouter.capacity.slopes import Machine, Point, Series, Slopes
from stackrouter.errors import MeasureError

POINT_S = 120.0  # one point may take so long


def machine() -> Machine:
    """This machine and the commit of the tree that the command runs in."""
    return Machine(
        cores=os.cpu_count() or 1,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
        commit=_commit(),
        date=datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC"),
    )


def measure(measurements: Sequence[Measurement], progress: Callable[[float], None]) -> Slopes:
    """All series of these measurements; MeasureError names the point that ended without its figures."""
    here = machine()  # before the first point: what was measured is the commit that it began with
    points = sum(len(m.sizes) * m.repeats for m in measurements)
    done = 0
    series: list[Series] = []
    for measurement in measurements:
        values: dict[str, dict[int, list[float]]] = {q.name: {} for q in measurement.quantities}
        for _ in range(measurement.repeats):
            for size in measurement.sizes:
                for name, value in _point(measurement, size).items():
                    values[name].setdefault(size, []).append(round(value, 4))
                done += 1
                progress(done / points)
        series += _series(measurement, values)
    return Slopes(here, tuple(series))


def _series(measurement: Measurement, values: dict[str, dict[int, list[float]]]) -> list[Series]:
    return [
        Series(
            name=quantity.name,
            role=measurement.role,
            what=quantity.what,
            unit=quantity.unit,
            against=measurement.against,
            points=tuple(Point(size, tuple(found)) for size, found in values[quantity.name].items()),
            fixed=measurement.fixed,
        )
        for quantity in measurement.quantities
    ]


def _point(measurement: Measurement, size: int) -> dict[str, float]:
    command = [sys.executable, "-m", "stackrouter.capacity.measure", measurement.name, str(size)]
    place = f"{measurement.name} at {size}"
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=POINT_S, check=False)
    except subprocess.TimeoutExpired:
        raise MeasureError(f"no figures within {POINT_S:.0f} s", key=place) from None
    if done.returncode or not done.stdout.strip():
        raise MeasureError(done.stderr.strip().splitlines()[-1:] or "ended", key=place)
    figures: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return figures


def _commit() -> str:
    """Short id of the commit, with a mark where files differ from it; `unknown` outside a repository."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    told = subprocess.run(command, capture_output=True, text=True, check=False)
    return told.stdout.strip() or "unknown"
