"""`trace show` and `trace cut`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from stackrouter.cli.shared import NOT_SO, AsJson, out, print_json
from stackrouter.errors import OutputError
from stackrouter.trace.read import Traces

app = typer.Typer(no_args_is_help=True, help="Look at traces, and take parts of them.")

Files = Annotated[list[Path], typer.Argument(help="Trace files; those of several gateways are merged.")]


def opened(files: Sequence[Path]) -> Traces:
    from stackrouter.trace.read import open_traces

    return open_traces(files)


def warnings(traces: Traces) -> list[str]:
    """What could not be read, a line each."""
    found = [f"{path}: bytes {d.begin} to {d.end}: {d.why}" for path, d in traces.damage]
    if traces.left_out:
        found.append(f"{traces.left_out} facts were not recorded: the gateway could not keep up")
    return found


def moment(us: int) -> str:
    return datetime.fromtimestamp(us / 1e6, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


@app.command()
def show(
    files: Files,
    facts: Annotated[int, typer.Option(min=0, help="Show so many facts, too.")] = 0,
    request: Annotated[int, typer.Option(help="Show the facts of this request alone.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Say what is in traces. Exit code 1: some of it could not be read."""
    from stackrouter.trace.read import merge, shift_us

    traces = opened(files)
    rows: list[dict[str, Any]] = []
    for run in traces.runs:
        kinds: Counter[str] = Counter()
        first = last = -1
        for fact in run.read():
            kinds[type(fact).__name__.lower()] += 1
            first, last = (fact.at if first < 0 else first), fact.at
        shift = shift_us(run.header)
        rows.append(
            {
                "gateway": run.header.gateway,
                "from": moment(first + shift),
                "seconds": round((last - first) / 1e6, 3),
                "blocks": len(run.blocks),
                "facts": run.count,
                "left_out": run.left_out,
                "kinds": dict(kinds),
            }
        )
    shown = []
    if facts or request:
        for place, fact in merge(traces.runs):
            if not request or getattr(fact, "request", None) == request:
                shown.append((traces.runs[place].header.gateway, fact))
            if facts and len(shown) >= facts:
                break
    problems = warnings(traces)
    if as_json:
        print_json(
            {
                "runs": rows,
                "problems": problems,
                "facts": [[g, type(f).__name__.lower(), *map(_plain, f)] for g, f in shown],
            }
        )
    else:
        table = Table("gateway", "from", "seconds", "blocks", "facts", "left out", box=None, pad_edge=False)
        for row in rows:
            table.add_row(
                row["gateway"],
                row["from"],
                f"{row['seconds']:.3f}",
                str(row["blocks"]),
                str(row["facts"]),
                str(row["left_out"]),
            )
        out.print(table)
        for row in rows:
            out.print(f"{row['gateway']}: " + ", ".join(f"{n} {kind}" for kind, n in row["kinds"].items()))
        for gateway, fact in shown:
            values = " ".join(f"{k}={_plain(v)}" for k, v in fact._asdict().items() if k != "at")
            out.print(f"{moment(fact.at)} {gateway} {type(fact).__name__.lower():8} {values}", soft_wrap=True)
        for problem in problems:
            out.print(f"problem: {problem}", soft_wrap=True)
    if traces.damage:
        raise typer.Exit(NOT_SO)


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return f"{len(value)} nodes"
    if isinstance(value, dict):
        return ",".join(f"{k}:{v:g}" for k, v in value.items()) or "-"
    return getattr(value, "value", value)


@app.command()
def cut(
    files: Files,
    output: Annotated[Path, typer.Option("--output", "-o", help="The file to write.")],
    since: Annotated[float, typer.Option(help="From so many seconds after the start.")] = 0.0,
    until: Annotated[float, typer.Option(help="Up to so many seconds after it; 0: the end.")] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Write a part of traces to a file of its own, with what was not whole left out."""
    from stackrouter.trace.codec import encode
    from stackrouter.trace.format import Place, pack, pack_index
    from stackrouter.trace.read import shift_us

    if any(output.resolve() == file.resolve() for file in files):
        raise OutputError("is one of the files to read", file=output)
    traces = opened(files)
    starts = [next(run.read()).at + shift_us(run.header) for run in traces.runs]
    begin = min(starts) + round(since * 1e6)
    end = min(starts) + round(until * 1e6) if until else 1 << 62
    places: list[Place] = []
    written = 0
    try:
        with output.open("wb") as file:
            for run in traces.runs:
                shift, first = shift_us(run.header), 0
                batch = []

                def flush(run: Any, batch: list[Any], first: int) -> int:
                    places.append(Place(file.tell(), first))
                    file.write(pack(encode(run.header, first, run.left_out, batch), first))
                    return first + len(batch)

                for fact in run.read():
                    if begin <= fact.at + shift <= end:
                        batch.append(fact)
                        if len(batch) >= 4096:
                            first, batch = flush(run, batch, first), []
                if batch:
                    first = flush(run, batch, first)
                written += first
            file.write(pack_index(places))
    except OSError as error:
        raise OutputError(error.strerror, file=output) from None
    if as_json:
        print_json({"facts": written, "blocks": len(places), "problems": warnings(traces)})
    else:
        out.print(f"{output}: {written} facts in {len(places)} blocks")
    if not written:
        raise typer.Exit(NOT_SO)
