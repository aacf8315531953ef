"""Sets up the optional parts that the operator's file enables. Imported only where there is such a file."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from stackrouter import log
from stackrouter.config import Config
from stackrouter.core.engine import Engine, clock_us
from stackrouter.edge.config import Edge
from stackrouter.edge.load import load_in_child_process
from stackrouter.errors import (
    EdgeValueError,
    LeftOutError,
    MissingExtraError,
    NoControlError,
    NoPolicyError,
    TraceWriteError,
    log_error,
)
from stackrouter.fronts.sftp.config import settings as sftp_settings
from stackrouter.net.pool import Pool

if TYPE_CHECKING:
    from stackrouter.accounts.live import Live
    from stackrouter.controlplane.gateway import GatewayControl
    from stackrouter.coord.calls import PolicyCalls
    from stackrouter.coord.member import Member
    from stackrouter.coord.policy import PolicyStateMachine
    from stackrouter.core.counters import Counters
    from stackrouter.net.discovery import Discovery
    from stackrouter.trace.record import Recorder

logger = logging.getLogger(__name__)

FLUSH_INTERVAL_S = 1.0  # maximum time between trace writes, and thus the most that a crash may lose


class OptionalParts:
    """The optional parts of one gateway.

    Raises ConfigError if the file is not valid or if an enabled part needs a library that is not installed.
    """

    def __init__(self, path: str, config: Config) -> None:
        self.edge: Edge = load_in_child_process(Path(path))
        self.config = config
        self.sftp = sftp_settings(config, self.edge.sftp)
        self.live: Live | None = None
        self.recorder: Recorder | None = None
        self.member: Member | None = None
        self.calls: PolicyCalls | None = None
        self.control: GatewayControl | None = None
        self._flush_requested = Event()  # set when a full block of facts is ready to be written
        try:
            if self.edge.log.format != "plain":
                log.start(self.edge.log.format, config.name)
            self._create_parts()
        except ImportError as error:
            raise MissingExtraError(f"needs {error.name}: install stackrouter[edge]", file=path) from None

    def _create_parts(self) -> None:
        edge, config = self.edge, self.config
        plans, classes = list(config.plans), list(config.classes)
        if edge.accounts.enabled:
            from stackrouter.accounts.live import Live

            self.live = Live(config.settings, plans, classes, edge.accounts.pairs)
        if edge.trace.enabled:
            from stackrouter.trace.codec import Header
            from stackrouter.trace.record import Recorder, Sink

            header = Header.of(
                config.name, config.settings, plans, classes, time.time_ns() // 1000, clock_us()
            )
            file = Path(edge.trace.file)
            try:
                file.open("ab").close()  # fail at startup rather than while the engine runs
            except OSError as error:
                raise TraceWriteError(error.strerror, file=file, key="trace.file") from None
            self.recorder = Recorder(Sink(file, header, edge.trace.most_mb << 20, edge.trace.keep))

    def coordinate(self, discovery: Discovery, counters: Counters, engine: Engine,
                   take_policy: Callable[[str], None]) -> None:  # fmt: skip
        """Join the other gateways. Raises ConfigError if this one is not a peer or a library is missing."""
        if not self.edge.coordination.enabled:
            return
        try:
            from stackrouter.coord.calls import PolicyCalls
            from stackrouter.coord.join import join
        except ImportError as error:
            message = f"needs {error.name}: install stackrouter[coord]"
            raise MissingExtraError(message, key="coordination") from None

        conf = self.edge.coordination
        self.member = join(conf, self.config.name, discovery, counters, take_policy)
        if self.member.policy_state is not None:
            self.calls = PolicyCalls(self.member, conf.policy.after_ms * 1000)
            engine.intake_blocked = self.member.refuses_requests

    def observe(self, discovery: Discovery, counters: Counters, engine: Engine,
                take_policy: Callable[[str], None]) -> None:  # fmt: skip
        """Observe the control plane. Raises ConfigError for a missing library or the file of a replica."""
        conf = self.edge.control
        if conf.listen:
            message = "is for a replica: `stackrouter control serve FILE`"
            raise EdgeValueError(message, key="control.listen")
        if not conf.enabled:
            return
        try:
            from stackrouter.controlplane.gateway import GatewayControl
        except ImportError as error:
            message = f"needs {error.name}: install stackrouter[coord]"
            raise MissingExtraError(message, key="control") from None

        self.control = GatewayControl(self.config.name, conf, discovery, counters, take_policy)
        engine.intake_blocked = self.control.refuses_requests
        self.control.start()

    def policy_in_force(self) -> bool:
        """Whether a policy of the fleet overrides the settings of the configuration file."""
        policy_state: PolicyStateMachine | None = None
        if self.control is not None:
            policy_state = self.control.policy
        elif self.member is not None:
            policy_state = self.member.policy_state
        return policy_state is not None and policy_state.serving.number > 0

    def not_ready(self) -> str:
        """Reason why this gateway is not ready, for the admin socket; empty if it is ready."""
        if self.control is not None:
            return self.control.not_ready()
        return self.member.not_ready() if self.member is not None else ""

    def control_status(self) -> str:
        """Answer of the admin socket to `control status`."""
        if self.control is None:
            return f"FAILURE {NoControlError('this gateway observes no control plane').with_code()}"
        return self.control.status()

    def policy_call(self, call: str) -> str:
        """Answer of the admin socket to `policy ...`."""
        if self.calls is None:
            return f"FAILURE {NoPolicyError('this gateway keeps no policy of a fleet').with_code()}"
        return self.calls.answer(call)

    def release_duties(self) -> None:
        """Release this gateway's duties as it stops, so that others need not wait for leases to expire."""
        if self.member is not None:
            self.member.leave()

    def attach(self, engine: Engine, pool: Pool) -> None:
        """Subscribe accounts and trace to the engine's facts."""
        subscribers = [s for s in (self.live, self.recorder) if s is not None]
        for subscriber in subscribers:
            engine.subscribe(subscriber)
        if subscribers:
            pool.written = engine.written
        if self.recorder is not None:
            self.recorder.on_block_full = self._flush_requested.set
            gevent.spawn(self._write_trace, self.recorder)

    def _write_trace(self, recorder: Recorder) -> None:
        """Write the trace in a thread, since the disk may block."""
        threads = gevent.get_hub().threadpool
        while True:
            self._flush_requested.wait(FLUSH_INTERVAL_S)
            self._flush_requested.clear()
            threads.apply(recorder.flush, (True,))

    def print_summary(self) -> None:
        if self.live is not None:
            print(self.live.line(), file=sys.stderr, flush=True)
        if self.recorder is not None and self.recorder.left_out:
            log_error(logger, LeftOutError(f"{self.recorder.left_out} facts left out"), "trace")

    def close(self) -> None:
        if self.member is not None:
            self.member.close()
        if self.control is not None:
            self.control.close()
        if self.recorder is not None:
            self.recorder.close()
