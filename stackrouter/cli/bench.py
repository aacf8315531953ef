"""`bench accounts`: the sketch against plain dicts; `bench capacity`: how costs grow, and its page."""

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

from stackrouter.cli.shared import AsJson, bar, out, print_json
from stackrouter.errors import OptionError

app = typer.Typer(no_args_is_help=True, help="Measurements of parts.")

ADDS = 400_000
SKEW = 1.05  # of a Zipf law: a few volumes cause most


@app.callback()
def group() -> None:
    """Measurements of parts."""


def _keys(rng: random.Random, volumes: int, count: int) -> Iterator[tuple[tuple[int, int, int], float]]:
    """Who waited behind whom at which node, for how long. Inverse of the Zipf law's sum, approximately."""
    power = 1 / (1 - SKEW)
    top = (volumes + 1) ** (1 - SKEW)
    for _ in range(count):
        cause = int((1 + rng.random() * (top - 1)) ** power) - 1
        yield (rng.randrange(volumes), cause, cause % 97), rng.expovariate(1 / 20_000)


def _measure(
    make: Callable[[], Any], add: Callable[[Any, Any, float], None], items: list[Any]
) -> tuple[Any, float]:
    table = make()
    began = time.perf_counter()
    for key, us in items:
        add(table, key, us)
    return table, (time.perf_counter() - began) / len(items) * 1e9


def _bytes(make: Callable[[], Any], add: Callable[[Any, Any, float], None], items: list[Any]) -> int:
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
    most: Annotated[int, typer.Option(min=16, help="What the sketch keeps.")] = 4096,
    adds: Annotated[int, typer.Option(min=1000)] = ADDS,
    repeats: Annotated[int, typer.Option(min=1, max=50)] = 3,
    as_json: AsJson = False,
) -> None:
    """The sketch of (waiter, cause, node) against a plain dict: time, memory, error."""
    from stackrouter.accounts.sketch import TopSums

    def sketch() -> TopSums[tuple[int, int, int]]:
        return TopSums(most)

    rows = []
    sizes = [10**n for n in range(2, 7)]
    with bar("sketch", len(sizes)) as progress:
        for i, volumes in enumerate(sizes):
            items = list(_keys(random.Random(volumes), volumes, adds))
            ratios, plain_ns, sketch_ns = [], 0.0, 0.0
            for _ in range(repeats):
                exact, plain_ns = _measure(Counter, _plain_add, items)
                table, sketch_ns = _measure(sketch, TopSums.add, items)
                ratios.append(sketch_ns / plain_ns)
            top = exact.most_common(10)
            off = max(abs(table[key].us - us) / us for key, us in top)
            rows.append(
                {
                    "volumes": volumes,
                    "keys": len(exact),
                    "plain_ns": round(plain_ns),
                    "sketch_ns": round(sketch_ns),
                    "ratio": round(statistics.median(ratios), 2),
                    "ratio_min": round(min(ratios), 2),
                    "ratio_max": round(max(ratios), 2),
                    "plain_kib": _bytes(Counter, _plain_add, items) // 1024,
                    "sketch_kib": _bytes(sketch, TopSums.add, items) // 1024,
                    "error_bound": round(table.error / table.total, 6),
                    "worst_of_top_10": round(off, 4),
                }
            )
            progress.at(i + 1)
    if as_json:
        print_json({"most": most, "adds": adds, "repeats": repeats, "rows": rows})
        return
    # Two-line heads keep the table within 80 columns.
    table_ = Table(
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
    for r in rows:
        table_.add_row(
            str(r["volumes"]),
            str(r["keys"]),
            str(r["plain_ns"]),
            str(r["sketch_ns"]),
            f"{r['ratio']} ({r['ratio_min']}-{r['ratio_max']})",
            str(r["plain_kib"]),
            str(r["sketch_kib"]),
            f"{r['error_bound']:.2%}",
            f"{r['worst_of_top_10']:.2%}",
        )
    out.print(table_)


SLOPES = Path("docs/capacity/slopes.json")


@app.command()
def capacity(
    file: Annotated[Path, typer.Option(help="Write the series here, as JSON.")] = SLOPES,
    only: Annotated[
        list[str] | None, typer.Option(help="Measure just this, by its name; may be given more than once.")
    ] = None,
) -> None:
    """Measure how the costs of each role grow, each quantity at four sizes or more; some minutes.

    With --only, the other series of a file of the same commit stay."""
    from stackrouter.capacity import slopes
    from stackrouter.capacity.measure.plan import MEASUREMENTS
    from stackrouter.capacity.measure.run import measure

    known = {measurement.name: measurement for measurement in MEASUREMENTS}
    for name in only or ():
        if name not in known:
            raise OptionError(f"must be of {', '.join(known)}, not {name!r}", key="--only")
    chosen = [known[name] for name in only] if only else MEASUREMENTS
    with bar("measuring", 1.0) as progress:
        measured = measure(chosen, progress.at)
    if only and file.exists():
        measured = slopes.merged(file, measured)
    slopes.write(file, measured)
    out.print(f"{len(measured.series)} series written to {file}")


@app.command("capacity-page")
def capacity_page(
    folder: Annotated[Path, typer.Option(help="Where slopes.json and scale.json lie.")] = SLOPES.parent,
    file: Annotated[Path, typer.Option(help="Write the page here.")] = Path("docs/CAPACITY.md"),
) -> None:
    """Write the capacity page and its plot from the measured figures, and nothing else."""
    from stackrouter.capacity.page import write_page

    write_page(folder, file)
