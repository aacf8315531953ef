"""Gathers the history of a scale run: what hollow gateways report, what real ones log and say, what the
replicas hold as committed.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from stackrouter.fleet.scale import doors
from stackrouter.fleet.scale.judge import Change, ChangeKind, FinalState, History, Outage, Served, Taken
from stackrouter.fleet.scale.measure import LATE_STEP_S, Lateness
from stackrouter.fleet.scale.reports import HollowEnd, HollowState, Report

SAMPLE_S = 0.5  # between two looks at a real gateway
COMMITTED_S = 0.5  # between two questions to a replica for the committed versions


class RealGateway:
    """Follows one real gateway by its admin socket. It does not tell the digest of what it serves under."""

    def __init__(self, name: str, admin: int, history: History) -> None:
        self.name = name
        self.version, self.nodes_index, self.ready = 0, -1, False
        self._admin, self._history = admin, history
        self._since = self._until = 0  # it was seen to take requests under this version

    def look(self) -> None:
        """One look. What is answered was so at some time between the question and the answer: what was seen
        first counts from the answer, what was seen last until the question. On a busy machine seconds lie
        between the two."""
        asked_at = time.monotonic_ns()
        status = doors.gateway_status(self._admin)
        answered_at = time.monotonic_ns()
        if status is None:
            self._close_interval()
            self.ready = False
            return
        if status.serving != self.version:
            self._close_interval()
            self.version = status.serving
            self._took("policy", status.serving, answered_at - round(status.since_s * 1e9))
        if status.nodes_index != self.nodes_index:
            self.nodes_index = status.nodes_index
            self._took("list", status.nodes_index, answered_at)
        if not status.heartbeat_valid:
            self._close_interval()
        elif not self._since:
            self._since = answered_at
        self._until = max(self._since, asked_at)
        self.ready = status.heartbeat_valid

    def end(self) -> FinalState:
        """What it has at the end of the run."""
        self._close_interval()
        return FinalState(self.name, self.version, "", self.nodes_index)

    def _took(self, kind: ChangeKind, number: int, at: int) -> None:
        self._history.taken.append(Taken(self.name, kind, number, "", at))

    def _close_interval(self) -> None:
        if self._since:
            self._history.served.append(Served(self.name, self.version, "", self._since, self._until))
        self._since = 0


@dataclass(slots=True)
class Observation:
    """All that is known of a run so far."""

    history: History = field(default_factory=History)
    states: dict[str, HollowState] = field(default_factory=dict)  # by process, the last one
    reals: list[RealGateway] = field(default_factory=list)
    late_ms: Counter[int] = field(default_factory=Counter)
    lateness: Lateness = field(default_factory=Lateness)
    _out: dict[str, int] = field(default_factory=dict)  # by gateway that cannot be reached: since when

    def heard(self, process: str, report: Report) -> None:
        """A report of a process of hollow gateways."""
        match report:
            case Taken():
                self.history.taken.append(report)
            case Served():
                self.history.served.append(report)
            case FinalState():
                self.history.final.append(report)
            case HollowState():
                self.states[process] = report
            case HollowEnd():
                self.late_ms.update({int(ms): count for ms, count in report.late_ms.items()})

    def handed_in(self, kind: ChangeKind, number: int, digest: str, at: int) -> None:
        """A change was handed in at `at`, and is known to be committed (a policy) or told (a list)."""
        self.history.changes.append(Change(kind, number, digest, at))

    def committed(self, versions: list[doors.KnownVersion]) -> None:
        """A replica told which versions it holds as committed."""
        for version in versions:
            self.history.committed.setdefault(version.number, version.digest)

    def out_of_reach(self, gateways: list[str]) -> None:
        """These can be reached by nobody from now on."""
        now = time.monotonic_ns()
        for gateway in gateways:
            self._out.setdefault(gateway, now)

    def in_reach(self, gateways: list[str]) -> None:
        """These can be reached again."""
        now = time.monotonic_ns()
        for gateway in gateways:
            if (since := self._out.pop(gateway, None)) is not None:
                self.history.outages.append(Outage(gateway, since, now))

    def all_have(self, gateways: int, version: int, nodes_index: int) -> bool:
        """Whether all gateways (so many hollow ones) are ready under this version with this list."""
        states = list(self.states.values())
        hollow = sum(state.ready for state in states) == gateways == sum(state.gateways for state in states)
        least = all(state.version >= version and state.nodes_index >= nodes_index for state in states)
        reals = all(
            real.ready and real.version >= version and real.nodes_index >= nodes_index for real in self.reals
        )
        return hollow and least and reals

    def how_far(self) -> str:
        """How many gateways are ready, for errors."""
        hollow = sum(state.ready for state in self.states.values())
        return f"{hollow} hollow and {sum(real.ready for real in self.reals)} real ones are"

    def watch_reals(self) -> None:
        """Look at the real gateways for ever."""
        while True:
            for real in self.reals:
                real.look()
            gevent.sleep(SAMPLE_S)

    def watch_lateness(self) -> None:
        """Note how late this process's own loop is woken, for ever."""
        while True:
            due = time.monotonic() + LATE_STEP_S
            gevent.sleep(LATE_STEP_S)
            self.lateness.note(time.monotonic() - due)

    def finish(self) -> None:
        """The run is over: what the real gateways have, and whose outage has not ended."""
        self.history.final += [real.end() for real in self.reals]
        self.in_reach(list(self._out))
        self.late_ms.update(self.lateness.by_ms)
