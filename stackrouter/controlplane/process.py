"""The process of a control replica: `python -m stackrouter.controlplane.process FILE`.

A voting replica is a member of the Raft group, whose members query discovery in turn; it has no engine and
serves no requests. A non-voting replica observes the others. Both serve gateways, and operators through an
admin socket.
"""

from __future__ import annotations

import gc
import json
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from random import Random

import gevent
from gevent.event import Event as Flag

from stackrouter import log
from stackrouter.config import address_of, check_policy, with_policy
from stackrouter.controlplane.client import ObserverClient
from stackrouter.controlplane.observer import GatewayIdentity
from stackrouter.controlplane.process_metrics import Lateness, cpu_ms, rss_mib
from stackrouter.controlplane.replica import ReplicaLimits, ReplicaStateMachine
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.source import LedgerSource, NoSink, ReplicaSource, Source
from stackrouter.controlplane.status import ControlStatus
from stackrouter.coord.calls import PolicyCalls
from stackrouter.coord.join import policy_rules, position_of, raft_store, timing
from stackrouter.coord.member import WATCH, Member, boottime_us
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.raft import Raft
from stackrouter.core.counters import Counters
from stackrouter.core.engine import clock_us
from stackrouter.edge.config import Control, Coordination, Edge
from stackrouter.edge.config import ReplicaLimits as ConfiguredLimits
from stackrouter.edge.load import load_in_child_process
from stackrouter.errors import (
    DoorCallError,
    EdgeValueError,
    MissingExtraError,
    NoPolicyError,
    NotReadyError,
    StackrouterError,
    StartSystemError,
    StoppingError,
)
from stackrouter.membership.listing import Listing
from stackrouter.net.admin import Admin
from stackrouter.net.discovery import Discovery

logger = logging.getLogger(__name__)

EXIT_CONFIG = 2
SHUTDOWN_TIMEOUT_S = 1.0  # after SIGTERM: time for peers to read why their connections end
SHUTDOWN_POLL_S = 0.02
HISTORY_RETRY_S = 0.5
MAX_UNIDENTIFIED = 512  # gateways reconnecting within a second, from regions 100 ms away and more
GC_THRESHOLD = 10_000  # allocations between collections: few objects are in cycles, and collections cost time


def replica_limits(configured: ConfiguredLimits) -> ReplicaLimits:
    """Convert the limits in the operator's file to those of the state machine."""
    return ReplicaLimits(
        most_gateways=configured.gateways,
        max_unidentified=MAX_UNIDENTIFIED,
        max_queued_bytes=configured.queued_kb * 1024,
        max_snapshot_transfers=configured.snapshots,
        snapshot_bytes_s=configured.snapshot_kb_s * 1024,
        max_log_entries=configured.deltas,
        max_log_bytes=configured.deltas_kb * 1024,
        barrier_interval_us=configured.barrier_interval_ms * 1000,
    )


class ControlReplica:
    """Common parts of both kinds of replica: listener, admin socket, figures."""

    role = ""

    def __init__(self, name: str, control: Control, source: Source) -> None:
        self.name, self.counters = name, Counters()
        self.machine = ReplicaStateMachine(name, replica_limits(control.limits))
        self.server = ControlServer(
            self.machine, address_of(control.listen, "control.listen"), boottime_us, self.counters,
            source.start_barrier, source.reload_state,
        )  # fmt: skip
        self.admin = Admin(address_of(control.admin, "control.admin"), self.answer)
        self._lateness = Lateness()
        self._started_at = time.monotonic()
        self._terminated = Flag()

    def start(self) -> None:
        """Start serving gateways."""
        self.server.start()
        self._lateness.start()

    def terminate(self) -> None:
        """Make `run` return."""
        self._terminated.set()

    def run(self) -> None:
        """Run until `terminate`, then shut down; waits up to the shutdown timeout for connections to end."""
        self._terminated.wait()
        self.leave()
        self.server.stop()
        until = time.monotonic() + SHUTDOWN_TIMEOUT_S
        while not self.server.idle() and time.monotonic() < until:
            gevent.sleep(SHUTDOWN_POLL_S)
        self.close()

    def leave(self) -> None:
        """Release what other replicas can take over immediately."""

    def close(self) -> None:
        """Stop what does not end by itself."""

    def print_counters(self) -> None:
        """Print the counters to standard error, as one line of JSON."""
        print(self.counters.line(), file=sys.stderr, flush=True)

    def answer(self, call: str) -> str:
        """Answer a call on the admin socket: `status`, `control status`, `policy ...`."""
        if call == "status":
            if self._terminated.is_set():
                return f"FAILURE {StoppingError('stopping').with_code()}"
            if not self.machine.ready:
                return f"FAILURE {NotReadyError('no state was confirmed by a majority yet').with_code()}"
            return "SUCCESS serving"
        if call == "control status":
            return f"SUCCESS {json.dumps(asdict(self.status()), separators=(',', ':'))}"
        if call.startswith("policy "):
            return self.policy_call(call)
        return f"FAILURE {DoorCallError(f'{call[:40]!r}: not a call of a control replica').with_code()}"

    def policy_call(self, call: str) -> str:
        """Answer a `policy ...` call."""
        return f"FAILURE {NoPolicyError('this replica does not vote: ask one that does').with_code()}"

    def leader(self) -> tuple[str, int]:
        """The leader and the term of the group, as known here."""
        return "", 0

    def log_entries(self) -> int:
        """Number of applied entries of the group's log."""
        return 0

    def status(self) -> ControlStatus:
        """Figures for operators."""
        report, figures = self.machine.report(boottime_us()), self.server.figures()
        leader, term = self.leader()
        counts = report.counts
        return ControlStatus(
            replica=self.name, role=self.role, leader=leader, term=term, ready=report.ready,
            history=report.position.history, position=report.position.number, active=report.active,
            gateways=report.serving.gateways, serving=dict(report.serving.by_version),
            behind=report.serving.behind, bytes_in=figures.bytes_in, bytes_out=figures.bytes_out,
            heartbeats=counts.heartbeats, answers=counts.answers, snapshots=counts.snapshots,
            snapshots_waiting=report.snapshots_waiting, resumed=counts.resumed, rejected=counts.rejected,
            barriers=counts.barriers_started, barriers_failed=counts.barriers_failed, changes=counts.changes,
            log_entries=self.log_entries(), uptime_s=round(time.monotonic() - self._started_at, 1),
            cpu_ms=cpu_ms(), rss_mib=rss_mib(), late_ms=self._lateness.percentile_ms(1.0),
            late_ms_p99=self._lateness.percentile_ms(0.99),
        )  # fmt: skip


class VotingReplica(ControlReplica):
    """A member of the Raft group."""

    role = "voter"

    def __init__(self, coordination: Coordination, control: Control) -> None:
        name = coordination.member
        position = position_of(coordination, name)
        self._store: Raft = raft_store(coordination, position)
        self._source = LedgerSource(name, self._store)
        super().__init__(name, control, self._source)
        self._source.server = self.server
        members = len(coordination.peer)
        self._member = Member(
            name, self._store, timing(coordination, position, members), coordination.stale_ms * 1000,
            self.counters, duties=(WATCH,),
        )  # fmt: skip
        self._member.subscribe(self._source.handle_event)
        self._member.keep_policy(policy_rules(coordination), self._take_policy)
        self._policy_calls = PolicyCalls(
            self._member, coordination.policy.after_ms * 1000, self._check_policy, self._store.reports
        )
        self._discovery = Discovery(
            address_of(control.discovery, "control.discovery"), Listing((), (), clock_us()), self.counters,
            lambda kind, version, entries, addresses: None, seed=position, gateways=members,
        )  # fmt: skip
        self._member.join(self._discovery)

    def start(self) -> None:
        super().start()
        self._member.start()
        self._store.request_state()
        gevent.spawn(self._discovery.run)
        gevent.spawn(self._begin_history)

    def leave(self) -> None:
        self._member.leave()

    def close(self) -> None:
        self._member.close()

    def policy_call(self, call: str) -> str:
        return self._policy_calls.answer(call)

    def leader(self) -> tuple[str, int]:
        return self._member.term.leader, self._member.term.term

    def log_entries(self) -> int:
        return self._store.applied()

    def _take_policy(self, body: str) -> None:
        """Accept any version: no requests are served here."""

    def _check_policy(self, body: str) -> None:
        """Validate a proposed policy. Raises ConfigError if gateways could not apply it. Checks against
        the gateway's file that GW_CONFIG names, if any, else against the newest version."""
        if os.environ.get("GW_CONFIG"):
            with_policy(body)
            return
        policies = self._store.policies()
        check_policy(body, policies[-1].body if policies else "")

    def _begin_history(self) -> None:
        """Propose a history until the group has one: a new group has none until its leader sets it."""
        while not self.machine.position.history:
            if self._member.term.leader == self.name:
                self._source.begin_history()
            gevent.sleep(HISTORY_RETRY_S)


class ObservingReplica(ControlReplica):
    """A non-voting replica, which forwards the state that it observes at another replica."""

    role = "observer"

    def __init__(self, control: Control) -> None:
        source = ReplicaSource()
        super().__init__(control.name, control, source)
        self._client = ObserverClient(
            GatewayIdentity(control.name, f"{control.name}#{time.time_ns():x}", control.region),
            [ReplicaAddress(r.name, r.address, r.region) for r in control.replica],
            HeartbeatRules(control.touch_ms * 1000, control.max_drift_ms * 1000),
            NoSink(), Random(), relay=source,
        )  # fmt: skip
        source.server, source.client = self.server, self._client

    def start(self) -> None:
        super().start()
        self._client.start()

    def leave(self) -> None:
        self._client.stop()


def create_replica(edge: Edge, file: str) -> ControlReplica:
    """Create the replica that the operator's file describes. Raises ConfigError if it describes none."""
    control, coordination = edge.control, edge.coordination
    if control.enabled or not control.listen:
        what = "must be set for a replica, and control.enabled must not be"
        raise EdgeValueError(what, file=file, key="control.listen")
    if coordination.enabled:
        if not coordination.member:
            raise EdgeValueError("must be set in a replica", file=file, key="coordination.member")
        return VotingReplica(coordination, control)
    return ObservingReplica(control)


def main(file: str) -> int:
    """Run until SIGTERM or SIGINT."""
    early_signals: list[int] = []  # signals received during the start are handled after it
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: early_signals.append(received))
    log.start()
    try:
        edge = load_in_child_process(Path(file))
        if edge.log.format != "plain":
            log.start(edge.log.format, edge.control.name or edge.coordination.member)
        replica = create_replica(edge, file)
    except ImportError as error:
        failure: StackrouterError = MissingExtraError(
            f"needs {error.name}: install stackrouter[coord]", file=file
        )
        print(f"stackrouter: {failure.one_line()}", file=sys.stderr)
        return EXIT_CONFIG
    except (StackrouterError, OSError) as error:
        failure = error if isinstance(error, StackrouterError) else StartSystemError(error)
        print(f"stackrouter: {failure.one_line()}", file=sys.stderr)
        return EXIT_CONFIG
    _on_signal(signal.SIGTERM, replica.terminate)
    _on_signal(signal.SIGINT, replica.terminate)
    _on_signal(signal.SIGUSR1, replica.print_counters)
    if early_signals:
        replica.terminate()
    replica.start()
    gc.freeze()  # objects loaded so far stay alive: exclude them from collections
    gc.set_threshold(GC_THRESHOLD)
    logger.info(
        "control replica %s (%s) listening on %s:%d", replica.name, replica.role, *replica.server.address
    )
    replica.run()
    replica.print_counters()
    return 0


def _on_signal(number: signal.Signals, handler: Callable[[], None]) -> None:
    gevent.signal_handler(number, handler)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
