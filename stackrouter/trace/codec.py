"""Converts facts to protobuf records and back."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from rackseam.interface import ListKind, NodeEntry, NodeState, Outcome, Settings
from stackrouter.core import facts
from stackrouter.core.model import Verdict
from stackrouter.trace import facts_pb2 as pb

OUTCOMES = {outcome.value: outcome for outcome in Outcome}
VERDICTS = {verdict.value: verdict for verdict in Verdict}
READY = NodeState.READY.value


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    usual_units_per_s: float


@dataclass(frozen=True, slots=True)
class Header:
    """The gateway that wrote a trace, and its configuration. `unix_us` and `clock_us` are the same moment on
    the wall clock and on the clock of the facts."""

    gateway: str
    unix_us: int
    clock_us: int
    gateways: int
    largest_units: int
    plans: tuple[Plan, ...]
    classes: tuple[str, ...]

    @staticmethod
    def of(gateway: str, settings: Settings, plans: Iterable[str], classes: Iterable[str], unix_us: int,
           clock_us: int) -> Header:  # fmt: skip
        """The header for a gateway with these settings. `plans`: the names of `settings.plans`, in order."""
        named = zip(plans, settings.plans, strict=True)
        named_plans = tuple(Plan(name, plan.usual_units_per_s) for name, plan in named)
        max_units = round(settings.max_units)
        return Header(gateway, unix_us, clock_us, settings.gateways, max_units, named_plans, tuple(classes))

    def record(self) -> pb.Header:
        """Convert to a protobuf message."""
        plans = [pb.Plan(name=p.name, usual_units_per_s=p.usual_units_per_s) for p in self.plans]
        return pb.Header(gateway=self.gateway, unix_us=self.unix_us, clock_us=self.clock_us,
                         gateways=self.gateways, largest_units=self.largest_units, plans=plans,
                         classes=self.classes)  # fmt: skip

    @staticmethod
    def read(record: pb.Header) -> Header:
        """Convert from a protobuf message."""
        plans = tuple(Plan(p.name, p.usual_units_per_s) for p in record.plans)
        return Header(record.gateway, record.unix_us, record.clock_us, record.gateways, record.largest_units,
                      plans, tuple(record.classes))  # fmt: skip


class _NameTable:
    """Numbers names in order of first use, starting at 1."""

    def __init__(self) -> None:
        self.indexes: dict[str, int] = {}

    def __getitem__(self, name: str) -> int:
        return self.indexes.setdefault(name, len(self.indexes) + 1)


def encode(header: Header, first: int, left_out: int, batch: Iterable[facts.Fact]) -> bytes:
    """Serialize one block of facts, uncompressed. `first`: number of facts before it in the trace;
    `left_out`: number of facts dropped so far."""
    block = pb.Block(header=header.record(), first=first, left_out=left_out)
    add, names, base = block.facts.add, _NameTable(), header.clock_us
    for fact in batch:
        match fact:
            case facts.Sent():
                add(kind=pb.SENT, at=fact.at - base, request=fact.request, attempt=fact.attempt,
                    name=names[fact.node], us=fact.timeout_us)  # fmt: skip
            case facts.Written():
                add(kind=pb.WRITTEN, at=fact.at - base, request=fact.request, attempt=fact.attempt,
                    name=names[fact.node])  # fmt: skip
            case facts.Ended():
                add(kind=pb.ENDED, at=fact.at - base, request=fact.request, attempt=fact.attempt,
                    name=names[fact.node], outcome=fact.outcome.value,
                    used_percent_plus_one=max(0, fact.used_percent + 1),
                    elsewhere_units=fact.elsewhere_units,
                    inflight_plus_one=fact.report.get("inflight", -1.0) + 1.0,
                    phase=fact.phase, received_bytes=fact.received_bytes)  # fmt: skip
            case facts.Answered():
                add(
                    kind=pb.ANSWERED,
                    at=fact.at - base,
                    request=fact.request,
                    outcome=fact.verdict.value,
                    us=fact.pause_us,
                )
            case facts.Taken():
                add(kind=pb.TAKEN, at=fact.at - base, request=fact.request, name=names[fact.volume],
                    request_class=fact.request_class, plan=fact.plan, units=fact.units, shard=fact.shard,
                    gateways=fact.gateways,
                    us=fact.deadline_us - fact.at, repeat=fact.repeat, write=fact.write)  # fmt: skip
            case facts.Held():
                add(kind=pb.HELD, at=fact.at - base, request=fact.request, us=fact.wait_us)
            case facts.GivenUp():
                add(kind=pb.GIVEN_UP, at=fact.at - base, request=fact.request)
            case facts.Listed():
                for i, node in enumerate(fact.nodes):
                    add(kind=pb.LISTED, at=fact.at - base, name=names[node.node], shard=node.shard,
                        state=node.state.value,
                        list=fact.kind.value, first=i == 0, version=fact.version, zone=node.zone,
                        launched_us=node.launched_us)  # fmt: skip
    block.names.extend(names.indexes)
    return block.SerializeToString()


def decode(block: pb.Block) -> Iterator[facts.Fact]:
    """Yield the facts of one block, with times of the gateway's own clock. Raises ValueError for a record
    with an unknown value or index."""
    base, names = block.header.clock_us, ["", *block.names]
    listed: list[pb.Fact] = []
    try:
        for fact in block.facts:
            kind = fact.kind
            if listed and (kind != pb.LISTED or fact.first):
                yield _listed_fact(listed, names, base)
                listed = []
            if kind == pb.SENT:
                yield facts.Sent(base + fact.at, fact.request, fact.attempt, names[fact.name], fact.us)
            elif kind == pb.WRITTEN:
                yield facts.Written(base + fact.at, fact.request, fact.attempt, names[fact.name])
            elif kind == pb.ENDED:
                report = {"inflight": fact.inflight_plus_one - 1.0} if fact.inflight_plus_one else {}
                yield facts.Ended(base + fact.at, fact.request, fact.attempt, names[fact.name],
                                  OUTCOMES[fact.outcome], fact.used_percent_plus_one - 1,
                                  fact.elsewhere_units, report, fact.phase, fact.received_bytes)  # fmt: skip
            elif kind == pb.ANSWERED:
                yield facts.Answered(base + fact.at, fact.request, VERDICTS[fact.outcome], fact.us)
            elif kind == pb.TAKEN:
                at = base + fact.at
                yield facts.Taken(at, fact.request, fact.request_class, fact.plan, names[fact.name],
                                  fact.units, fact.shard, fact.gateways, at + fact.us, fact.repeat,
                                  fact.write)  # fmt: skip
            elif kind == pb.HELD:
                yield facts.Held(base + fact.at, fact.request, fact.us)
            elif kind == pb.GIVEN_UP:
                yield facts.GivenUp(base + fact.at, fact.request)
            elif kind == pb.LISTED:
                listed.append(fact)
        if listed:
            yield _listed_fact(listed, names, base)
    except (IndexError, KeyError) as error:
        raise ValueError(f"invalid record: {type(error).__name__} {error}") from None


def _listed_fact(records: list[pb.Fact], names: list[str], base: int) -> facts.Listed:
    first = records[0]
    nodes = tuple(NodeEntry(names[r.name], r.shard, NodeState(r.state), r.zone, launched_us=r.launched_us)
                  for r in records)  # fmt: skip
    return facts.Listed(base + first.at, ListKind(first.list), first.version, nodes)
