"""Runs measurements, one point after another, and collects their series."""

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

POINT_TIMEOUT_S = 120.0  # timeout of one point


def machine() -> Machine:
    """Describe this machine and the commit of the current directory's tree."""
    return Machine(
        cores=os.cpu_count() or 1,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
        commit=_commit(),
        date=datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC"),
    )


def measure(measurements: Sequence[Measurement], progress: Callable[[float], None]) -> Slopes:
    """Run the measurements and return their series; MeasureError names a point that ended without figures."""
    # Before the first point, since the commit at the start is the one that is measured.
    machine_info = machine()
    point_count = sum(len(m.sizes) * m.repeats for m in measurements)
    done = 0
    series: list[Series] = []
    for measurement in measurements:
        values: dict[str, dict[int, list[float]]] = {q.name: {} for q in measurement.quantities}
        for _ in range(measurement.repeats):
            for size in measurement.sizes:
                for name, value in _run_point(measurement, size).items():
                    values[name].setdefault(size, []).append(round(value, 4))
                done += 1
                progress(done / point_count)
        series += _series(measurement, values)
    return Slopes(machine_info, tuple(series))


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


def _run_point(measurement: Measurement, size: int) -> dict[str, float]:
    command = [sys.executable, "-m", "stackrouter.capacity.measure", measurement.name, str(size)]
    point_name = f"{measurement.name} at {size}"
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=POINT_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        raise MeasureError(f"no figures within {POINT_TIMEOUT_S:.0f} s", key=point_name) from None
    if done.returncode or not done.stdout.strip():
        raise MeasureError(done.stderr.strip().splitlines()[-1:] or "ended without output", key=point_name)
    figures: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return figures


def _commit() -> str:
    """Short commit id, with a suffix if files differ from it; `unknown` outside a repository."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    described = subprocess.run(command, capture_output=True, text=True, check=False)
    return described.stdout.strip() or "unknown"
