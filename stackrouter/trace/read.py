"""Reads traces and merges those of several gateways into one stream ordered by time."""

from __future__ import annotations

import heapq
import mmap
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from stackrouter.core import facts
from stackrouter.errors import TraceReadError
from stackrouter.trace.codec import Header, decode
from stackrouter.trace.format import BlockPosition, Damage, block_at, blocks


@dataclass(slots=True)
class Run:
    """One run of one gateway. Its blocks may be in several files. `left_out`: number of facts dropped."""

    header: Header
    blocks: list[tuple[Path, BlockPosition]] = field(default_factory=list)
    count: int = 0  # of facts
    left_out: int = 0

    def read(self) -> Iterator[facts.Fact]:
        """Yield the facts in time order, with times of the gateway's own clock."""
        for path in dict.fromkeys(path for path, _ in self.blocks):
            with _mapped(path) as view:
                for place in [place for file, place in self.blocks if file == path]:
                    yield from decode(block_at(view, place))


@dataclass(slots=True)
class Traces:
    """The contents of trace files. `damage`: the ranges that could not be read."""

    runs: list[Run] = field(default_factory=list)
    damage: list[tuple[Path, Damage]] = field(default_factory=list)

    @property
    def count(self) -> int:
        """The total number of facts."""
        return sum(run.count for run in self.runs)

    @property
    def left_out(self) -> int:
        """The total number of dropped facts."""
        return sum(run.left_out for run in self.runs)


@contextmanager
def _mapped(path: Path) -> Iterator[memoryview]:
    with path.open("rb") as file, mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ) as data:
        view = memoryview(data)
        try:
            yield view
        finally:
            view.release()


def open_traces(paths: Sequence[Path]) -> Traces:
    """Scan all files once. Raises TraceReadError if a file cannot be read or contains no intact block."""
    found, runs = Traces(), dict[Header, Run]()
    for path in paths:
        before = len(found.damage), sum(len(run.blocks) for run in runs.values())
        try:
            if path.stat().st_size:
                with _mapped(path) as view:
                    _scan(path, view, found, runs)
        except OSError as error:
            raise TraceReadError(error.strerror, file=path) from None
        if before[1] == sum(len(run.blocks) for run in runs.values()):
            raise TraceReadError("not a trace: it contains no intact block", file=path)
    found.runs = list(runs.values())
    for run in found.runs:
        # Rotated files (.1, .2) are older than the current one; the fact counts of the blocks give the order.
        run.blocks.sort(key=lambda block: block[1].first)
    return found


def _scan(path: Path, view: memoryview, found: Traces, runs: dict[Header, Run]) -> None:
    for item in blocks(view):
        if isinstance(item, Damage):
            found.damage.append((path, item))
            continue
        place, block = item
        header = Header.read(block.header)
        run = runs.setdefault(header, Run(header))
        run.blocks.append((path, place))
        run.count += len(block.facts)
        run.left_out = max(run.left_out, block.left_out)


def wall_clock_offset_us(header: Header) -> int:
    """The offset from the times of facts to the wall clock, in microseconds."""
    return header.unix_us - header.clock_us


def merge(runs: Sequence[Run]) -> Iterator[tuple[int, facts.Fact]]:
    """Yield each fact with the index of its run, ordered by wall clock time."""

    def stream(index: int, run: Run) -> Iterator[tuple[int, int, int, facts.Fact]]:
        shift = wall_clock_offset_us(run.header)
        for i, fact in enumerate(run.read()):
            yield fact.at + shift, index, i, fact

    for at, index, _, fact in heapq.merge(*(stream(i, run) for i, run in enumerate(runs))):
        yield index, fact._replace(at=at)
