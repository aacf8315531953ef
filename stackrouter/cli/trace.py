"""`trace show` prints the contents of trace files; `trace cut` copies a time range of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from stackrouter.cli.shared import EXIT_CHECK_FAILED, AsJson, out, print_json
from stackrouter.errors import OutputError
from stackrouter.trace.read import Traces

app = typer.Typer(no_args_is_help=True, help="Inspect traces and extract parts of them.")

Files = Annotated[list[Path], typer.Argument(help="Trace files; files of several gateways are merged.")]


def open_trace_files(files: Sequence[Path]) -> Traces:
    """Opens the files. TraceReadError: one cannot be read, or has no whole block."""
    from stackrouter.trace.read import open_traces

    return open_traces(files)


def read_problems(traces: Traces) -> list[str]:
    """Describes each stretch that could not be read, and facts that were not recorded; one line each."""
    problems_found = [
        f"{path}: bytes {damaged.begin} to {damaged.end}: {damaged.why}" for path, damaged in traces.damage
    ]
    if traces.left_out:
        problems_found.append(f"{traces.left_out} facts were not recorded: the gateway could not keep up")
    return problems_found


def format_time(us: int) -> str:
    """A Unix time in microseconds as ISO 8601 in UTC, to the millisecond."""
    return datetime.fromtimestamp(us / 1e6, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


@app.command()
def show(
    files: Files,
    facts: Annotated[int, typer.Option(min=0, help="Also show up to this many facts.")] = 0,
    request: Annotated[int, typer.Option(help="Show only the facts of this request.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Summarize traces. Exit code 1: some blocks could not be read."""
    from stackrouter.trace.read import merge, wall_clock_offset_us

    traces = open_trace_files(files)
    rows: list[dict[str, Any]] = []
    for run in traces.runs:
        kinds: Counter[str] = Counter()
        first = last = -1
        for fact in run.read():
            kinds[type(fact).__name__.lower()] += 1
            first, last = (fact.at if first < 0 else first), fact.at
        offset_us = wall_clock_offset_us(run.header)
        rows.append(
            {
                "gateway": run.header.gateway,
                "from": format_time(first + offset_us),
                "seconds": round((last - first) / 1e6, 3),
                "blocks": len(run.blocks),
                "facts": run.count,
                "left_out": run.left_out,
                "kinds": dict(kinds),
            }
        )
    shown = []
    if facts or request:
        for run_index, fact in merge(traces.runs):
            if not request or getattr(fact, "request", None) == request:
                shown.append((traces.runs[run_index].header.gateway, fact))
            if facts and len(shown) >= facts:
                break
    problems = read_problems(traces)
    if as_json:
        print_json(
            {
                "runs": rows,
                "problems": problems,
                "facts": [[g, type(f).__name__.lower(), *map(_plain_value, f)] for g, f in shown],
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
            values = " ".join(f"{k}={_plain_value(v)}" for k, v in fact._asdict().items() if k != "at")
            out.print(
                f"{format_time(fact.at)} {gateway} {type(fact).__name__.lower():8} {values}", soft_wrap=True
            )
        for problem in problems:
            out.print(f"problem: {problem}", soft_wrap=True)
    if traces.damage:
        raise typer.Exit(EXIT_CHECK_FAILED)


def _plain_value(value: Any) -> Any:
    """A field of a fact for output: node lists as their length, enums as their values."""
    if isinstance(value, tuple):
        return f"{len(value)} nodes"
    if isinstance(value, dict):
        return ",".join(f"{k}:{v:g}" for k, v in value.items()) or "-"
    return getattr(value, "value", value)


@app.command()
def cut(
    files: Files,
    output: Annotated[Path, typer.Option("--output", "-o", help="The file to write.")],
    since: Annotated[float, typer.Option(help="Start of the range, in seconds after the first fact.")] = 0.0,
    until: Annotated[
        float, typer.Option(help="End of the range, in seconds after the first fact; 0: no end.")
    ] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Copy a time range of traces to a new file; damaged blocks are omitted."""
    from stackrouter.trace.codec import encode
    from stackrouter.trace.format import BlockPosition, pack, pack_index
    from stackrouter.trace.read import wall_clock_offset_us

    if any(output.resolve() == file.resolve() for file in files):
        raise OutputError("is one of the files to read", file=output)
    traces = open_trace_files(files)
    starts = [next(run.read()).at + wall_clock_offset_us(run.header) for run in traces.runs]
    begin_us = min(starts) + round(since * 1e6)
    end_us = min(starts) + round(until * 1e6) if until else 1 << 62
    places: list[BlockPosition] = []
    written = 0
    try:
        with output.open("wb") as file:
            for run in traces.runs:
                offset_us, first = wall_clock_offset_us(run.header), 0
                batch = []

                def flush(run: Any, batch: list[Any], first: int) -> int:
                    places.append(BlockPosition(file.tell(), first))
                    file.write(pack(encode(run.header, first, run.left_out, batch), first))
                    return first + len(batch)

                for fact in run.read():
                    if begin_us <= fact.at + offset_us <= end_us:
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
        print_json({"facts": written, "blocks": len(places), "problems": read_problems(traces)})
    else:
        out.print(f"{output}: {written} facts in {len(places)} blocks")
    if not written:
        raise typer.Exit(EXIT_CHECK_FAILED)
