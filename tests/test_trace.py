"""Traces: what was written is read again; what is cut off or damaged is passed over and said."""

from __future__ import annotations

import os
import threading
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from rackseam.interface import ListKind, NodeEntry, NodeState, Outcome
from stackrouter.core import facts
from stackrouter.core.model import Verdict
from stackrouter.errors import TraceError
from stackrouter.trace import facts_pb2 as pb
from stackrouter.trace.codec import Header, Plan, decode, encode
from stackrouter.trace.format import Damage, Place, blocks, pack, pack_index, read_index
from stackrouter.trace.read import merge, open_traces
from stackrouter.trace.record import BLOCK_FACTS, Recorder, Sink

HEADER = Header("g1", 5_000_000, 1_000, 2, 8, (Plan("basic", 4.5), Plan("priority", 9.0)), ("read", "write"))
AT, REQUEST, SMALL = st.integers(1_000, 1 << 40), st.integers(1, 1 << 40), st.integers(0, 100)
NAME = st.text(min_size=1, max_size=20)
HALF = SMALL.map(lambda n: n / 2)
FACT = st.one_of(
    st.builds(
        facts.Taken,
        AT,
        REQUEST,
        SMALL,
        SMALL,
        NAME,
        HALF,
        st.integers(-1, 50),
        SMALL,
        st.integers(1 << 41, 1 << 42),
        st.booleans(),
        st.booleans(),
    ),
    st.builds(facts.Held, AT, REQUEST, st.integers(-1, 1 << 40)),
    st.builds(facts.Sent, AT, REQUEST, SMALL, NAME, SMALL),
    st.builds(facts.Written, AT, REQUEST, SMALL, NAME),
    st.builds(
        facts.Ended,
        AT,
        REQUEST,
        SMALL,
        NAME,
        st.sampled_from(Outcome),
        st.integers(-1, 500),
        HALF,
        st.sampled_from([{}, {"inflight": 0.0}, {"inflight": 7.0}]),
    ),
    st.builds(facts.Answered, AT, REQUEST, st.sampled_from(Verdict), SMALL),
    st.builds(facts.GivenUp, AT, REQUEST),
    st.builds(
        facts.Listed,
        AT,
        st.sampled_from(ListKind),
        SMALL,
        st.lists(
            st.builds(NodeEntry, NAME, st.integers(-1, 9), st.sampled_from(NodeState), SMALL),
            min_size=1,
            max_size=4,
        ).map(tuple),
    ),
)


@given(st.lists(FACT, max_size=30))
def test_what_is_written_is_read_again(batch: list[facts.Fact]) -> None:
    block = pb.Block.FromString(encode(HEADER, 3, 2, batch))
    assert Header.read(block.header) == HEADER
    assert list(decode(block)) == batch


def file_of(count: int, each: int = 50) -> bytes:
    data, places = b"", []
    for i in range(count):
        batch = [facts.GivenUp(2_000 + i * each + j, i * each + j + 1) for j in range(each)]
        places.append(Place(len(data), i * each))
        data += pack(encode(HEADER, i * each, 0, batch), i * each)
    return data + pack_index(places)


def whole(data: bytes) -> tuple[list[int], list[Damage]]:
    found = list(blocks(data))
    return [item[0].first for item in found if not isinstance(item, Damage)], [
        item for item in found if isinstance(item, Damage)
    ]


def test_a_file_cut_off_anywhere_is_read_up_to_its_last_whole_block() -> None:
    data = file_of(4)
    index = read_index(data)
    assert index is not None and whole(data) == ([0, 50, 100, 150], [])
    starts = [place.offset for place in index]
    behind = [*starts[1:], data.rindex(b"SRTI") - 8]
    for length in range(len(data)):
        firsts, damage = whole(data[:length])
        assert firsts == [i * 50 for i, end in enumerate(behind) if end <= length]
        assert bool(damage) == (length not in (0, *behind))
        assert length >= behind[-1] or all(d.cut for d in damage)


@given(st.integers(0, 1 << 30), st.integers(1, 255), st.integers(1, 40))
@example(11, 11, 1)  # turns the mark of the first block into that of an index
def test_damage_anywhere_is_reported_and_costs_what_it_touches_alone(at: int, flip: int, length: int) -> None:
    data = bytearray(file_of(5))
    index = read_index(bytes(data))
    assert index is not None
    end = data.rindex(b"SRTI") - 8
    at %= end - length
    for i in range(at, at + length):
        data[i] ^= flip
    firsts, damage = whole(bytes(data))
    starts = [place.offset for place in index]
    touched = {i for i, start in enumerate(starts) if start < at + length and at < [*starts[1:], end][i]}
    assert damage and set(firsts) >= {i * 50 for i in range(5) if i not in touched}
    assert sum(d.end - d.begin for d in damage) <= len(data)


def test_a_recorder_rotates_keeps_so_many_and_its_files_are_one_run_again(tmp_path: Path) -> None:
    recorder = Recorder(Sink(tmp_path / "t", HEADER, most_bytes=30_000, keep=3))
    for i in range(10 * BLOCK_FACTS):
        recorder(facts.Sent(2_000 + i, i * 7919 % 100_003, 0, f"n{i % 9}", i * 31 % 977))
        if not i % BLOCK_FACTS:
            recorder.flush()
    recorder.close()
    files = sorted(tmp_path.iterdir())
    assert [f.name for f in files] == ["t", "t.1", "t.2", "t.3"] and recorder.left_out == 0
    found = open_traces(files)
    [run] = found.runs
    times = [fact.at for fact in run.read()]
    assert times == sorted(times) and times[-1] == 2_000 + 10 * BLOCK_FACTS - 1 and not found.damage


def test_what_cannot_be_kept_is_counted_and_memory_stays_bounded(tmp_path: Path) -> None:
    recorder = Recorder(Sink(tmp_path / "t", HEADER, 1 << 20, 1), most_facts=100)
    for i in range(250):
        recorder(facts.GivenUp(2_000 + i, i))
    assert len(recorder._waiting) == 100 and recorder.left_out == 150
    recorder.close()
    assert open_traces([tmp_path / "t"]).left_out == 150


def test_an_end_waits_for_the_flush_under_way_and_a_later_one_writes_nothing(tmp_path: Path) -> None:
    recorder = Recorder(sink := Sink(tmp_path / "t", HEADER, 1 << 20, 1))
    write, begun, go = sink.write, threading.Event(), threading.Event()

    def slow(batch: list[facts.Fact], left_out: int) -> None:
        begun.set()
        go.wait(10)
        write(batch, left_out)

    recorder(facts.GivenUp(2_000, 1))
    sink.write = slow  # type: ignore[method-assign]
    flush = threading.Thread(target=recorder.flush, args=(True,))
    flush.start()
    assert begun.wait(10)
    recorder(facts.GivenUp(2_001, 2))
    end = threading.Thread(target=recorder.close)
    end.start()
    end.join(0.05)
    assert end.is_alive()
    go.set()
    end.join(10)
    flush.join(10)
    recorder(facts.GivenUp(2_002, 3))
    recorder.flush(True)
    found = open_traces([tmp_path / "t"])
    assert [fact.at for run in found.runs for fact in run.read()] == [2_000, 2_001] and not found.damage


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="needs a full disk")
def test_a_full_disk_costs_facts_not_the_gateway() -> None:
    recorder = Recorder(Sink(Path("/dev/full"), HEADER, 1 << 20, 0))
    for i in range(BLOCK_FACTS + 1):
        recorder(facts.GivenUp(2_000 + i, i))
    recorder.flush()
    recorder.flush(all_of_it=True)
    assert recorder.left_out == BLOCK_FACTS + 1


def test_runs_of_several_gateways_are_merged_by_the_clock_of_the_day(tmp_path: Path) -> None:
    for name, unix, clock in (("a", 9_000_000, 1_000), ("b", 9_000_500, 7_000_000)):
        sink = Sink(tmp_path / name, Header(name, unix, clock, 2, 8, (), ()), 1 << 20, 0)
        sink.write([facts.GivenUp(clock + i * 1_000, i) for i in range(3)], 0)
        sink.close()
    found = open_traces([tmp_path / "a", tmp_path / "b"])
    assert [(run, fact.at) for run, fact in merge(found.runs)] == [
        (0, 9_000_000), (1, 9_000_500), (0, 9_001_000), (1, 9_001_500), (0, 9_002_000), (1, 9_002_500),
    ]  # fmt: skip


def test_what_is_no_trace_is_one_clear_error(tmp_path: Path) -> None:
    for name, data in (("empty", b""), ("noise", b"hello" * 1000), ("head", file_of(1)[:30])):
        (tmp_path / name).write_bytes(data)
        with pytest.raises(TraceError, match=f"{name}: not a trace"):
            open_traces([tmp_path / name])
    with pytest.raises(TraceError, match="No such file"):
        open_traces([tmp_path / "none"])
