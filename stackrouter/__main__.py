"""Starts the gateway: wiring, signals, exit codes."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from rackseam.interface import Settings
from stackrouter import log
from stackrouter.config import Config, load, reload, with_policy
from stackrouter.core.counters import Counters
from stackrouter.core.engine import Engine, clock_us
from stackrouter.core.memory import AnswerMemory, MemoryAccount
from stackrouter.errors import (
    ConfigError,
    ConfigValueError,
    DoorCallError,
    NotReadyError,
    PolicyInForceError,
    StackrouterError,
    StartSystemError,
    StoppingError,
    VariableError,
    log_error,
)
from stackrouter.fronts.platform.client import BUSY, CLIENT_TIMEOUTS, PlatformSession, RequestContext
from stackrouter.fronts.sftp.client import CLIENT_TIMEOUTS as SFTP_CLIENT_TIMEOUTS
from stackrouter.fronts.sftp.client import SftpContext, SftpSession
from stackrouter.fronts.sftp.config import SftpConfig
from stackrouter.membership.listing import Listing
from stackrouter.net.admin import Admin
from stackrouter.net.discovery import Discovery
from stackrouter.net.listener import Listener
from stackrouter.net.pool import Pool
from stackrouter.net.session import Session
from stackrouter.ops.class_names import ClassNames
from stackrouter.ops.drain import Drain
from stackrouter.ops.retune import merge

if TYPE_CHECKING:
    from stackrouter.edge.wiring import OptionalParts
    from stackrouter.sharing.buckets import SharedBuckets
    from stackrouter.sharing.id_log import SharedIds
    from stackrouter.sharing.socket_limits import ProcessSocketLimits

STOP_DELAY_S = 0.5  # clients still connect for a while after SIGTERM; listeners must be closed before 0.7 s
FINISH_STEP_S = 0.02
PROCESS_POLL_S = 0.05  # sharing.mode.IDLE_SCAN_INTERVAL_US: how soon an idle process notices another one
SFTP_SOCKET_DIVISOR = 4  # one in 4 client sockets is reserved for the SFTP front, if it is enabled
DEFAULT_TMP_DIR = "/tmp"  # if TMPDIR is not set
EXIT_CONFIG = 2
GC_THRESHOLD = 10_000  # allocations between collections: cycles are rare, and each collection takes CPU time

logger = logging.getLogger(__name__)


class Gateway:
    """The gateway process: its components, and the handlers of signals and admin calls."""

    def __init__(self, config: Config, sftp: SftpConfig | None) -> None:
        self.counters = Counters()
        self.config = config
        shared = open_shared_limits(config, self.counters)
        limits = shared[0] if shared else None
        self.request_memory = MemoryAccount(config.request_bytes)
        self.answer_memory = AnswerMemory(config.usual_answer_bytes, config.large_answer_bytes)
        self.engine = Engine(config.settings, config.max_open, self.counters, shared=limits,
                             request_memory=self.request_memory,
                             ids=open_shared_ids(config, self.counters))  # fmt: skip
        self.pool = Pool(config.node_sockets, self.answer_memory, config.connect_timeout_us,
                         config.keepalive_us, self.counters, self.engine.attempt_ended, self.engine.gate,
                         self.engine.violations)  # fmt: skip
        self.engine.transport = self.pool
        self.pool.written = self.engine.written
        self.pool.pass_on = self.engine.pass_on
        listing = Listing(config.zones, config.kinds, clock_us(), time.time_ns() // 1000)
        try:
            known = listing.read(config.known, clock_us())
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ConfigValueError(f"{type(error).__name__}: {error}", key="known") from None
        self.discovery = Discovery(config.discovery, listing, self.counters, self.engine.update_nodes,
                                   known.version if known.entries else None, config.settings.seed,
                                   config.settings.gateways, not config.settings.list_on_request)  # fmt: skip
        self.engine.fetch_list = self.discovery.refetch
        self.discovery.start_with(known)
        gevent.spawn(self.engine.run)
        gevent.spawn(self.discovery.run)
        self.drain = Drain()  # set by the admin calls standby and active, reported to the front by PING
        self.names = names = RequestContext(
            config.classes, config.plans, config.settings, config.shards, drain=self.drain
        )
        new_session: Callable[..., Session] = partial(PlatformSession, self.engine, names, self.counters)
        self.listeners = [
            Listener(
                config.listen,
                0,
                self.counters,
                new_session,
                CLIENT_TIMEOUTS,
                BUSY,
                config.listen_fd,
                self.drain,
                self.engine.gate,
                self.request_memory,
            )
        ]
        if sftp is not None:
            new_session = partial(SftpSession, SftpContext(sftp, self.engine, self.counters))
            self.listeners.append(
                Listener(
                    sftp.listen,
                    0,
                    self.counters,
                    new_session,
                    SFTP_CLIENT_TIMEOUTS,
                    b"",
                    drain=self.drain,
                    gate=self.engine.gate,
                    memory=self.request_memory,
                )
            )
        self._processes = 1  # number of serving processes of this gateway
        self._apply_limits(config)
        if shared is not None:
            self.engine.on_process_count_changed = self._apply_process_count
            gevent.spawn(self._poll_processes, shared[1])
        self._terminated = Event()
        self.admin = Admin(config.admin, self.answer) if config.admin else None
        self.extras: OptionalParts | None = None  # features that the operator's file turns on
        self._class_names = ClassNames(names.classes)
        self._class_names_timer: gevent.Greenlet[..., None] | None = None  # for the next change of names

    def _apply_limits(self, config: Config) -> None:
        """Applies this process's part of the gateway's memory and sockets, which its processes share."""
        self.config = config
        self.engine.max_open = config.max_open // self._processes
        self.request_memory.max_bytes = config.request_bytes // self._processes
        self.answer_memory.resize(
            config.usual_answer_bytes // self._processes, config.large_answer_bytes // self._processes
        )
        self._apply_socket_limits(config.client_sockets, config.node_sockets)

    def _apply_socket_limits(self, clients: int, nodes: int) -> None:
        self.pool.max_sockets = nodes
        # The clients of the SFTP front share the same socket budget.
        sftp_sockets = clients // SFTP_SOCKET_DIVISOR if len(self.listeners) > 1 else 0
        for listener, max_clients in zip(
            self.listeners, (clients - sftp_sockets, sftp_sockets), strict=False
        ):
            listener.max_clients = max_clients

    def _apply_process_count(self, processes: int) -> None:
        self._processes = processes
        self._apply_limits(self.config)

    def _poll_processes(self, rooms: ProcessSocketLimits) -> None:
        """Polls for other processes of this gateway, and applies the sockets that they leave to this one."""
        while True:
            clients = sum(listener.held() for listener in self.listeners)
            config = self.config
            self._apply_socket_limits(*rooms.allowed(
                (config.client_sockets, clients), (config.node_sockets, self.pool.held())
            ))  # fmt: skip
            gevent.sleep(PROCESS_POLL_S)
            self.engine.wake()

    def reload(self) -> None:
        """Reloads the configuration file; an invalid file changes nothing."""
        try:
            config = reload(self.config)
            settings, bound, unknown = merge(self.engine.settings.classes, config.settings, config.classes,
                                             self.names.classes, config.writes_stated)  # fmt: skip
        except ConfigError as error:
            self.counters.add("reloads.failed")
            log_error(logger, error, "keeping the old configuration")
            return
        self.counters.add("reloads.done")
        self._apply_limits(config)
        self.discovery.change_address(config.discovery)
        if self.extras is not None and self.extras.policy_in_force():
            what = "settings of the file are ignored: a policy of the fleet is in force"
            log_error(logger, PolicyInForceError(what))
            return
        self._retune(settings, unknown)
        self._class_names.change(bound, time.monotonic())
        self._start_class_names_timer()
        logger.info(
            "configuration reloaded: discovery at %s:%d, classes %s", *config.discovery, sorted(bound)
        )

    def take_policy(self, text: str) -> None:
        """Applies the settings of a policy; open requests keep their rules. If the policy is invalid, it
        raises ConfigError and changes nothing."""
        config = with_policy(text)
        settings, bound, unknown = merge(self.engine.settings.classes, config.settings, config.classes,
                                         self.names.classes, config.writes_stated)  # fmt: skip
        self._apply_limits(config)
        self._retune(settings, unknown)
        self._class_names.replace(bound)

    def _retune(self, settings: Settings, unknown: set[int]) -> None:
        """Applies new settings, but for the names of classes. Open requests keep their class's index."""
        self.engine.retune(settings)
        self.names.settings = settings
        self.names.classes_without_write_flag |= unknown

    def _start_class_names_timer(self) -> None:
        """Starts the timer for the next change of class names, unless it runs."""
        due_in = self._class_names.due_in(time.monotonic())
        if due_in is not None and self._class_names_timer is None:
            self._class_names_timer = gevent.spawn_later(due_in, self._advance_class_names)

    def _advance_class_names(self) -> None:
        self._class_names_timer = None
        self._class_names.advance(time.monotonic())
        self._start_class_names_timer()

    def terminate(self) -> None:
        """Starts the planned stop."""
        self._terminated.set()

    def answer(self, call: str) -> str:
        """Answers a call on the admin port. `status`: whether this process serves; `standby`: begins a drain
        (PING answers -ERR draining, connections close once all answers on them are written); `active`: ends
        it."""
        now = time.monotonic()
        if call == "status":
            if self._terminated.is_set():
                return f"FAILURE {StoppingError('stopping').with_code()}"
            if self.extras is not None and (why := self.extras.not_ready()):
                return f"FAILURE {NotReadyError(why).with_code()}"
            return f"SUCCESS {self.drain.status(now)}"
        if call == "standby":
            began = self.drain.standby(now)
            self.counters.add("drains.begun" if began else "drains.again")
            logger.info(
                "standby: PING answers -ERR draining, client connections close once their answers are written"
            )
            for listener in self.listeners:
                listener.close_drained()
            return f"SUCCESS {self.drain.status(now)}"
        if call == "active":
            self.counters.add("drains.ended" if self.drain.active() else "drains.none")
            logger.info("active: PING answers +PONG")
            return "SUCCESS serving"
        if call.startswith("policy ") and self.extras is not None:
            return self.extras.policy_call(call)
        if call == "control status" and self.extras is not None:
            return self.extras.control_status()
        return f"FAILURE {DoorCallError(f'{call[:40]!r}: not a call of this gateway').with_code()}"

    def print_counters(self) -> None:
        """Prints the counters to standard error as one line of JSON."""
        print(self.counters.line(), file=sys.stderr, flush=True)
        if self.extras is not None:
            self.extras.print_summary()

    def serve(self) -> None:
        """Serves until a stop is requested; returns once all requests that were taken are answered."""
        self._terminated.wait()
        self.engine.stop()
        if self.extras is not None:
            self.extras.release_duties()
        gevent.sleep(STOP_DELAY_S)
        for listener in self.listeners:
            listener.stop()
        self._finish_connections()

    def _finish_connections(self) -> None:
        """Returns once every client has its answers and its end, or when the process has to exit.

        Bounded by the gate: a client that never completes its request or never reads its answer must not
        delay the exit until the platform kills the process.
        """
        gate = self.engine.gate
        while not gate.must_exit(clock_us()):
            at_exit = gate.takes_no_more(clock_us())
            clients_left = [listener.leave(at_exit) for listener in self.listeners]
            if self.engine.idle() and not any(clients_left):
                return
            gevent.sleep(FINISH_STEP_S)


def open_shared_limits(
    config: Config, counters: Counters
) -> tuple[SharedBuckets, ProcessSocketLimits] | None:
    """Opens the limits and socket budgets shared with other processes of this gateway. Returns None if the
    listening socket is not inherited: then there are no other processes.

    At an upgrade two processes serve for seconds. When each had the whole part of a limit, volumes got twice
    the rate.
    """
    if config.listen_fd is None:
        return None
    from stackrouter.sharing.buckets import SharedBuckets
    from stackrouter.sharing.log_file import SharedFile
    from stackrouter.sharing.presence import SocketPresence
    from stackrouter.sharing.socket_limits import ProcessSocketLimits

    log_file = SharedFile(shared_folder(), config.name, config.listen_fd)
    presence = SocketPresence(config.listen_fd)
    buckets = SharedBuckets(config.settings, presence, log_file, counters, clock_us)
    return buckets, ProcessSocketLimits(presence)


def open_shared_ids(config: Config, counters: Counters) -> SharedIds | None:
    """Opens the claims on ids of requests that are shared with other processes of this gateway. Returns None
    if the listening socket is not inherited: then there are no other processes."""
    listen_fd = config.listen_fd
    if listen_fd is None:
        return None
    from stackrouter.sharing.id_log import SharedIds
    from stackrouter.sharing.log_file import SharedFile

    def new_file(number: int) -> SharedFile:
        return SharedFile(shared_folder(), config.name, listen_fd, f"ids-{number}")

    return SharedIds(new_file, counters)


def shared_folder() -> str:
    """The directory of the files that the processes of a gateway share."""
    return os.environ.get("TMPDIR") or DEFAULT_TMP_DIR


def load_extras(config: Config) -> OptionalParts | None:
    """Loads the features that the operator's file turns on; without a file their modules aren't imported."""
    if os.environ.get("GW_SFTP"):
        what = "is no longer supported: set GW_EDGE to a file like deploy/edge.txtpb, with a section sftp"
        raise VariableError(what, key="GW_SFTP")
    path = os.environ.get("GW_EDGE")
    if not path:
        return None
    from stackrouter.edge.wiring import OptionalParts

    return OptionalParts(path, config)


def main() -> int:
    # Signals during the start are recorded and handled after it. Otherwise a file that changed after it was
    # read here would never be reloaded, and a stop would cut off clients that have already connected.
    pending_signals: list[int] = []
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: pending_signals.append(received))
    log.start()
    try:
        config = load()
        if form := os.environ.get("GW_LOG_FORMAT"):
            log.start(form, config.name)
        extras = load_extras(config)
        gateway = Gateway(config, extras.sftp if extras else None)
        if extras:
            extras.attach(gateway.engine, gateway.pool)
            extras.coordinate(gateway.discovery, gateway.counters, gateway.engine, gateway.take_policy)
            extras.observe(gateway.discovery, gateway.counters, gateway.engine, gateway.take_policy)
            gateway.extras = extras
    except (StackrouterError, OSError) as error:
        startup_error = error if isinstance(error, StackrouterError) else StartSystemError(error)
        print(f"stackrouter: {startup_error.one_line()}", file=sys.stderr)
        return EXIT_CONFIG
    gevent.signal_handler(signal.SIGTERM, gateway.terminate)
    gevent.signal_handler(signal.SIGINT, gateway.terminate)
    gevent.signal_handler(signal.SIGHUP, gateway.reload)
    gevent.signal_handler(signal.SIGUSR1, gateway.print_counters)
    if signal.SIGHUP in pending_signals:
        gateway.reload()
    if signal.SIGTERM in pending_signals or signal.SIGINT in pending_signals:
        gateway.terminate()
    gc.freeze()  # excludes what is loaded now from collections, since it stays for good
    gc.set_threshold(GC_THRESHOLD)
    logger.info("listening on %s:%d, limits %s", *gateway.listeners[0].address, config.limits)
    gateway.serve()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal during the exit of the interpreter would kill the process.
        signal.signal(number, signal.SIG_IGN)
    gateway.print_counters()
    if gateway.extras is not None:
        gateway.extras.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
