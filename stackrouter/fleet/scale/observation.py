"""Collects the history of a scale run from the reports of hollow gateways, the admin sockets of real gateways
and the versions that replicas report as committed.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from stackrouter.fleet.scale import admin_client
from stackrouter.fleet.scale.judge import Change, ChangeKind, FinalState, History, Outage, Served, Taken
from stackrouter.fleet.scale.measure import LATENESS_STEP_S, Lateness
from stackrouter.fleet.scale.reports import HollowEnd, HollowState, Report

SAMPLE_S = 0.5  # interval at which each real gateway is polled
COMMITTED_POLL_S = 0.5  # interval at which a replica is asked for the committed versions


class RealGateway:
    """Polls the admin socket of one real gateway, which does not report the digest of the version it
    serves."""

    def __init__(self, name: str, admin: int, history: History) -> None:
        self.name = name
        self.version, self.nodes_index, self.ready = 0, -1, False
        self._admin, self._history = admin, history
        self._since = self._until = 0  # first and last time it was observed to serve under `version`

    def poll(self) -> None:
        """Poll once. The answer was true at some time between the request and its arrival, which may be
        seconds apart on a busy machine. Therefore an interval starts when the first answer arrives and ends
        when the last request is sent."""
        asked_at = time.monotonic_ns()
        status = admin_client.gateway_status(self._admin)
        answered_at = time.monotonic_ns()
        if status is None:
            self._close_interval()
            self.ready = False
            return
        if status.serving != self.version:
            self._close_interval()
            self.version = status.serving
            self._record_taken("policy", status.serving, answered_at - round(status.since_s * 1e9))
        if status.nodes_index != self.nodes_index:
            self.nodes_index = status.nodes_index
            self._record_taken("list", status.nodes_index, answered_at)
        if not status.heartbeat_valid:
            self._close_interval()
        elif not self._since:
            self._since = answered_at
        self._until = max(self._since, asked_at)
        self.ready = status.heartbeat_valid

    def finish(self) -> FinalState:
        """Close the open interval and return the final state of the gateway."""
        self._close_interval()
        return FinalState(self.name, self.version, "", self.nodes_index)

    def _record_taken(self, kind: ChangeKind, number: int, at: int) -> None:
        self._history.taken.append(Taken(self.name, kind, number, "", at))

    def _close_interval(self) -> None:
        if self._since:
            self._history.served.append(Served(self.name, self.version, "", self._since, self._until))
        self._since = 0


@dataclass(slots=True)
class Observation:
    """The history of a run so far, and the current state of its gateways."""

    history: History = field(default_factory=History)
    states: dict[str, HollowState] = field(default_factory=dict)  # the latest by process name
    reals: list[RealGateway] = field(default_factory=list)
    late_ms: Counter[int] = field(default_factory=Counter)
    lateness: Lateness = field(default_factory=Lateness)
    _outage_since: dict[str, int] = field(default_factory=dict)  # by unreachable gateway: start of the outage

    def on_report(self, process: str, report: Report) -> None:
        """Record a report of a process of hollow gateways."""
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

    def record_change(self, kind: ChangeKind, number: int, digest: str, at: int) -> None:
        """Record a change submitted at `at` that is known to be committed (policy) or published (list)."""
        self.history.changes.append(Change(kind, number, digest, at))

    def record_committed(self, versions: list[admin_client.KnownVersion]) -> None:
        """Record the versions that a replica reports as committed."""
        for version in versions:
            self.history.committed.setdefault(version.number, version.digest)

    def begin_outages(self, gateways: list[str]) -> None:
        """Mark these gateways as unreachable from now on."""
        now = time.monotonic_ns()
        for gateway in gateways:
            self._outage_since.setdefault(gateway, now)

    def end_outages(self, gateways: list[str]) -> None:
        """Mark these gateways as reachable again and record their outages."""
        now = time.monotonic_ns()
        for gateway in gateways:
            if (since := self._outage_since.pop(gateway, None)) is not None:
                self.history.outages.append(Outage(gateway, since, now))

    def all_up_to_date(self, gateways: int, version: int, nodes_index: int) -> bool:
        """Whether all gateways (`gateways` is the number of hollow ones) are ready with this version and
        list."""
        states = list(self.states.values())
        hollow_ready = (
            sum(state.ready for state in states) == gateways == sum(state.gateways for state in states)
        )
        hollow_current = all(
            state.version >= version and state.nodes_index >= nodes_index for state in states
        )
        reals_ready = all(
            real.ready and real.version >= version and real.nodes_index >= nodes_index for real in self.reals
        )
        return hollow_ready and hollow_current and reals_ready

    def ready_summary(self) -> str:
        """The number of ready gateways, for error messages."""
        hollow = sum(state.ready for state in self.states.values())
        return f"{hollow} hollow and {sum(real.ready for real in self.reals)} real gateways are ready"

    def watch_reals(self) -> None:
        """Poll the real gateways until killed."""
        while True:
            for real in self.reals:
                real.poll()
            gevent.sleep(SAMPLE_S)

    def watch_lateness(self) -> None:
        """Measure how late the event loop of this process is woken, until killed."""
        while True:
            due = time.monotonic() + LATENESS_STEP_S
            gevent.sleep(LATENESS_STEP_S)
            self.lateness.note(time.monotonic() - due)

    def finish(self) -> None:
        """Record the final states of the real gateways and close the open outages at the end of the run."""
        self.history.final += [real.finish() for real in self.reals]
        self.end_outages(list(self._outage_since))
        self.late_ms.update(self.lateness.by_ms)
