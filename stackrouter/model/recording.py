"""Records a model run as a trace: one file with the blocks of all gateways, like a merged trace."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from stackrouter.core import facts
from stackrouter.core.facts import Subscriber
from stackrouter.model.traffic import settings_for
from stackrouter.trace.codec import Header, encode
from stackrouter.trace.format import BlockPosition, pack, pack_index

PLANS, CLASSES = ("basic", "priority"), ("match-read", "turn-write")
# Wall clock at the start of a run; constant, so that the same seed gives the same bytes.
EPOCH_US = 1_700_000_000_000_000
FACTS_PER_BLOCK = 2048


@contextmanager
def recorders(path: Path, gateways: int, nodes: int, seed: int) -> Iterator[list[Subscriber]]:
    """Yield a subscriber for each gateway; the file is complete when the context ends."""
    settings = settings_for(gateways, nodes, seed)
    headers = [Header.of(f"g{i}", settings, PLANS, CLASSES, EPOCH_US, 0) for i in range(gateways)]
    buffers: list[list[facts.Fact]] = [[] for _ in headers]
    places: list[BlockPosition] = []
    first_numbers = [0] * gateways
    with path.open("wb") as file:

        def flush(i: int) -> None:
            batch, buffers[i] = buffers[i], []
            places.append(BlockPosition(file.tell(), first_numbers[i]))
            file.write(pack(encode(headers[i], first_numbers[i], 0, batch), first_numbers[i]))
            first_numbers[i] += len(batch)

        def subscriber(i: int) -> Subscriber:
            def record(fact: facts.Fact) -> None:
                buffers[i].append(fact)
                if len(buffers[i]) >= FACTS_PER_BLOCK:
                    flush(i)

            return record

        yield [subscriber(i) for i in range(gateways)]
        for i, batch in enumerate(buffers):
            if batch:
                flush(i)
        file.write(pack_index(places))
