"""One control replica's process: `python -m stackrouter.controlplane.process FILE`.

A voting replica is a member of the Raft group that asks discovery in its turn; it has no engine and takes no
requests. One that does not vote observes the others. Both serve gateways, and operators by an admin socket.
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
from stackrouter.controlplane.figures import Lateness, cpu_ms, rss_mib
from stackrouter.controlplane.observer import GatewayIdentity
from stackrouter.controlplane.replica import ReplicaLimits, ReplicaStateMachine
from stackrouter.controlplane.routing import ReplicaAddress
from stackrouter.controlplane.server import ControlServer
from stackrouter.controlplane.source import LedgerSource, NoSink, ReplicaSource, Source
from stackrouter.controlplane.status import ControlStatus
from stackrouter.coord.calls import PolicyCalls
from stackrouter.coord.join import policy_rules, position_of, raft_store, timing
from stackrouter.coord.member import WATCH, Member, boottime_us
from stackrouter.coord.policy import Rules
from stackrouter.coord.raft import Raft
from stackrouter.core.counters import Counters
from stackrouter.core.engine import clock_us
from stackrouter.edge.config import Control, Coordination, Edge
from stackrouter.edge.config import ReplicaLimits as ConfiguredLimits
from stackrouter.edge.load import load_apart
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
LEAVE_S = 1.0  # after SIGTERM: for connections to read why they end
LEAVE_STEP_S = 0.02
HISTORY_EVERY_S = 0.5
MOST_UNKNOWN = 512  # a replica's gateways that come back within a second, from regions 100 ms away and more
GC_THRESHOLD = 10_000  # objects between collections: few are left in cycles, and looking costs


def limits_of(configured: ConfiguredLimits) -> ReplicaLimits:
    """The state machine's limits, out of the operator's file."""
    return ReplicaLimits(
        most_gateways=configured.gateways,
        most_unknown=MOST_UNKNOWN,
        most_queued_bytes=configured.queued_kb * 1024,
        snapshots_at_once=configured.snapshots,
        snapshot_bytes_s=configured.snapshot_kb_s * 1024,
        most_log_entries=configured.deltas,
        most_log_bytes=configured.deltas_kb * 1024,
        barrier_interval_us=configured.barrier_interval_ms * 1000,
    )


class ControlReplica:
    """What both kinds of replica have: the listener, the admin socket, figures."""

    role = ""

    def __init__(self, name: str, control: Control, source: Source) -> None:
        self.name, self.counters = name, Counters()
        self.machine = ReplicaStateMachine(name, limits_of(control.limits))
        self.server = ControlServer(
            self.machine, address_of(control.listen, "control.listen"), boottime_us, self.counters,
            source.start_barrier, source.reload_state,
        )  # fmt: skip
        self.admin = Admin(address_of(control.admin, "control.admin"), self.answer)
        self._lateness = Lateness()
        self._began = time.monotonic()
        self._terminated = Flag()

    def start(self) -> None:
        """Serve."""
        self.server.start()
        self._lateness.start()

    def terminate(self) -> None:
        """Let `run` return."""
        self._terminated.set()

    def run(self) -> None:
        """Returns after `terminate`, once the connections have ended or had time to."""
        self._terminated.wait()
        self.leave()
        self.server.stop()
        until = time.monotonic() + LEAVE_S
        while not self.server.idle() and time.monotonic() < until:
            gevent.sleep(LEAVE_STEP_S)
        self.close()

    def leave(self) -> None:
        """Give back what others can take over at once."""

    def close(self) -> None:
        """End what does not end by itself."""

    def print_counters(self) -> None:
        """On standard error, as one line of JSON."""
        print(self.counters.line(), file=sys.stderr, flush=True)

    def answer(self, call: str) -> str:
        """The admin socket: `status`, `control status`, `policy ...`."""
        if call == "status":
            if self._terminated.is_set():
                return f"FAILURE {StoppingError('stopping').coded()}"
            if not self.machine.ready:
                return f"FAILURE {NotReadyError('no state was confirmed by a majority yet').coded()}"
            return "SUCCESS serving"
        if call == "control status":
            return f"SUCCESS {json.dumps(asdict(self.status()), separators=(',', ':'))}"
        if call.startswith("policy "):
            return self.policy_call(call)
        return f"FAILURE {DoorCallError(f'{call[:40]!r}: not a call of a control replica').coded()}"

    def policy_call(self, call: str) -> str:
        """The answer to `policy ...`."""
        return f"FAILURE {NoPolicyError('this replica does not vote: ask one that does').coded()}"

    def leader(self) -> tuple[str, int]:
        """Who leads the group, and in which term, as far as known here."""
        return "", 0

    def log_entries(self) -> int:
        """Applied entries of the group's log."""
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
            log_entries=self.log_entries(), uptime_s=round(time.monotonic() - self._began, 1),
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
        self._member.subscribe(self._source.heard)
        self._member.keep_policy(policy_rules(coordination), self._take_policy)
        self._calls = PolicyCalls(
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
        return self._calls.answer(call)

    def leader(self) -> tuple[str, int]:
        return self._member.term.leader, self._member.term.term

    def log_entries(self) -> int:
        return self._store.applied()

    def _take_policy(self, body: str) -> None:
        """No request is served here: the version counts as taken."""

    def _check_policy(self, body: str) -> None:
        """A ConfigError: gateways cannot take it. Where GW_CONFIG names a gateway's file, it is checked
        against that; else against the newest version."""
        if os.environ.get("GW_CONFIG"):
            with_policy(body)
            return
        policies = self._store.policies()
        check_policy(body, policies[-1].body if policies else "")

    def _begin_history(self) -> None:
        """A new group has none until its leader has set one."""
        while not self.machine.position.history:
            if self._member.term.leader == self.name:
                self._source.begin_history()
            gevent.sleep(HISTORY_EVERY_S)


class ObservingReplica(ControlReplica):
    """A replica that does not vote, and passes on what it observes at another."""

    role = "observer"

    def __init__(self, control: Control) -> None:
        source = ReplicaSource()
        super().__init__(control.name, control, source)
        self._client = ObserverClient(
            GatewayIdentity(control.name, f"{control.name}#{time.time_ns():x}", control.region),
            [ReplicaAddress(r.name, r.address, r.region) for r in control.replica],
            Rules(control.touch_ms * 1000, control.max_drift_ms * 1000),
            NoSink(), Random(), relay=source,
        )  # fmt: skip
        source.server, source.client = self.server, self._client

    def start(self) -> None:
        super().start()
        self._client.start()

    def leave(self) -> None:
        self._client.stop()


def replica_of(edge: Edge, file: str) -> ControlReplica:
    """The replica that the operator's file describes. A ConfigError: it describes none."""
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
    early: list[int] = []  # what is told during the start is carried out after it
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda told, _: early.append(told))
    log.start()
    try:
        edge = load_apart(Path(file))
        if edge.log.format != "plain":
            log.start(edge.log.format, edge.control.name or edge.coordination.member)
        replica = replica_of(edge, file)
    except ImportError as error:
        wrong: StackrouterError = MissingExtraError(
            f"needs {error.name}: install stackrouter[coord]", file=file
        )
        print(f"stackrouter: {wrong.whole()}", file=sys.stderr)
        return EXIT_CONFIG
    except (StackrouterError, OSError) as error:
        wrong = error if isinstance(error, StackrouterError) else StartSystemError(error)
        print(f"stackrouter: {wrong.whole()}", file=sys.stderr)
        return EXIT_CONFIG
    _on_signal(signal.SIGTERM, replica.terminate)
    _on_signal(signal.SIGINT, replica.terminate)
    _on_signal(signal.SIGUSR1, replica.print_counters)
    if early:
        replica.terminate()
    replica.start()
    gc.freeze()  # what is loaded now stays: a collection need not look at it
    gc.set_threshold(GC_THRESHOLD)
    logger.info(
        "control replica %s (%s) listening on %s:%d", replica.name, replica.role, *replica.server.address
    )
    replica.run()
    replica.print_counters()
    return 0


def _on_signal(number: signal.Signals, do: Callable[[], None]) -> None:
    gevent.signal_handler(number, do)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
