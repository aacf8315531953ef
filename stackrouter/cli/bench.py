"""`bench accounts` compares the sketch with plain dicts; `bench capacity` measures the growth of costs."""

from __future__ import annotations

import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from stackrouter.cli.shared import AsJson, out, print_json, progress_bar
from stackrouter.errors import OptionError

app = typer.Typer(no_args_is_help=True, help="Benchmarks of components.")

DEFAULT_ADDS = 400_000
ZIPF_EXPONENT = 1.05  # a few volumes cause most of the delay


@app.callback()
def group() -> None:
    """Benchmarks of components."""


def _random_keys(
    rng: random.Random, volumes: int, count: int
) -> Iterator[tuple[tuple[int, int, int], float]]:
    """Random keys (waiter, cause, node) with delays in microseconds. Causes follow a Zipf law, drawn by an
    approximate inverse of its cumulative sum."""
    power = 1 / (1 - ZIPF_EXPONENT)
    largest = (volumes + 1) ** (1 - ZIPF_EXPONENT)
    for _ in range(count):
        cause = int((1 + rng.random() * (largest - 1)) ** power) - 1
        yield (rng.randrange(volumes), cause, cause % 97), rng.expovariate(1 / 20_000)


def _measure(
    make: Callable[[], Any], add: Callable[[Any, Any, float], None], items: list[Any]
) -> tuple[Any, float]:
    """The filled table and the nanoseconds of one add."""
    table = make()
    started_s = time.perf_counter()
    for key, us in items:
        add(table, key, us)
    return table, (time.perf_counter() - started_s) / len(items) * 1e9


def _allocated_bytes(
    make: Callable[[], Any], add: Callable[[Any, Any, float], None], items: list[Any]
) -> int:
    """Bytes allocated by a filled table."""
    tracemalloc.start()
    try:
        table, _ = _measure(make, add, items)
        return tracemalloc.get_traced_memory()[0] if table is not None else 0
    finally:
        tracemalloc.stop()


def _plain_add(table: Counter[Any], key: Any, us: float) -> None:
    table[key] += us  # type: ignore[assignment]


@app.command()
def accounts(
    most: Annotated[int, typer.Option(min=16, help="Maximum entries of the sketch.")] = 4096,
    adds: Annotated[int, typer.Option(min=1000)] = DEFAULT_ADDS,
    repeats: Annotated[int, typer.Option(min=1, max=50)] = 3,
    as_json: AsJson = False,
) -> None:
    """Compare the sketch of (waiter, cause, node) with a plain dict: time, memory, error."""
    from stackrouter.accounts.sketch import TopSums

    def sketch() -> TopSums[tuple[int, int, int]]:
        return TopSums(most)

    rows = []
    sizes = [10**n for n in range(2, 7)]
    with progress_bar("sketch", len(sizes)) as progress:
        for i, volumes in enumerate(sizes):
            items = list(_random_keys(random.Random(volumes), volumes, adds))
            ratios, plain_ns, sketch_ns = [], 0.0, 0.0
            for _ in range(repeats):
                exact, plain_ns = _measure(Counter, _plain_add, items)
                table, sketch_ns = _measure(sketch, TopSums.add, items)
                ratios.append(sketch_ns / plain_ns)
            largest = exact.most_common(10)
            worst_error = max(abs(table[key].us - us) / us for key, us in largest)
            rows.append(
                {
                    "volumes": volumes,
                    "keys": len(exact),
                    "plain_ns": round(plain_ns),
                    "sketch_ns": round(sketch_ns),
                    "ratio": round(statistics.median(ratios), 2),
                    "ratio_min": round(min(ratios), 2),
                    "ratio_max": round(max(ratios), 2),
                    "plain_kib": _allocated_bytes(Counter, _plain_add, items) // 1024,
                    "sketch_kib": _allocated_bytes(sketch, TopSums.add, items) // 1024,
                    "error_bound": round(table.error / table.total, 6),
                    "worst_of_top_10": round(worst_error, 4),
                }
            )
            progress.update(i + 1)
    if as_json:
        print_json({"most": most, "adds": adds, "repeats": repeats, "rows": rows})
        return
    # Two-line column headers keep the table within 80 columns.
    output_table = Table(
        "volumes",
        "keys",
        "dict\nns",
        "sketch\nns",
        "ratio\n(range)",
        "dict\nKiB",
        "sketch\nKiB",
        "bound,\nof all",
        "worst of\ntop 10",
        box=None,
        pad_edge=False,
    )
    for row in rows:
        output_table.add_row(
            str(row["volumes"]),
            str(row["keys"]),
            str(row["plain_ns"]),
            str(row["sketch_ns"]),
            f"{row['ratio']} ({row['ratio_min']}-{row['ratio_max']})",
            str(row["plain_kib"]),
            str(row["sketch_kib"]),
            f"{row['error_bound']:.2%}",
            f"{row['worst_of_top_10']:.2%}",
        )
    out.print(output_table)


SLOPES_FILE = Path("docs/capacity/slopes.json")


@app.command()
def capacity(
    file: Annotated[Path, typer.Option(help="Write the series to this JSON file.")] = SLOPES_FILE,
    only: Annotated[
        list[str] | None, typer.Option(help="Measure only this one, by name; repeatable.")
    ] = None,
) -> None:
    """Measure how the costs of each role grow, each quantity at four or more sizes; takes some minutes.

    With --only, the other series of a file of the same commit are kept."""
    from stackrouter.capacity import slopes
    from stackrouter.capacity.measure.plan import MEASUREMENTS
    from stackrouter.capacity.measure.run import measure

    known = {measurement.name: measurement for measurement in MEASUREMENTS}
    for name in only or ():
        if name not in known:
            raise OptionError(f"must be among {', '.join(known)}, not {name!r}", key="--only")
    chosen = [known[name] for name in only] if only else MEASUREMENTS
    with progress_bar("measuring", 1.0) as progress:
        measured = measure(chosen, progress.update)
    if only and file.exists():
        measured = slopes.merge_with_file(file, measured)
    slopes.write(file, measured)
    out.print(f"{len(measured.series)} series written to {file}")


@app.command("capacity-page")
def capacity_page(
    folder: Annotated[Path, typer.Option(help="Folder of slopes.json and scale.json.")] = SLOPES_FILE.parent,
    file: Annotated[Path, typer.Option(help="Write the page to this file.")] = Path("docs/CAPACITY.md"),
) -> None:
    """Write the capacity page and its plot, only from the measured figures."""
    from stackrouter.capacity.page import write_page

    write_page(folder, file)
