"""Child processes of a scale run: starts, stops, kills and restarts them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import gevent
from gevent.fileobject import FileObjectPosix

from stackrouter.errors import StartError
from stackrouter.fleet.scale.measure import ProcessMeter
from stackrouter.fleet.scale.reports import EndHollow, Order, Report, from_line, to_line

STOP_TIMEOUT_S = 4.0
POLL_S = 0.02
MAX_QUOTED_CHARS = 300  # of the last log line of a process


class Child:
    """One role in the run, filled by successive processes. Standard error, and standard output unless it is
    read, go to a log file."""

    def __init__(self, name: str, command: Sequence[str], environ: dict[str, str], folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self.meter = ProcessMeter()
        self._command = [sys.executable, *command]
        # The gateways started here must not inherit gateway settings from the environment of this command.
        self._environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")} | environ
        self._process: subprocess.Popen[bytes] | None = None
        self._measured = False

    @property
    def pid(self) -> int:
        return self._process.pid if self._process is not None else 0

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self._process = self._spawn(log.fileno())
        if self._measured:
            self.meter.begin(self.pid)

    def measure(self, on: bool) -> None:
        """Start or stop measuring the resource use of the role."""
        self._measured = on
        if on:
            self.meter.begin(self.pid)
        else:
            self.meter.end()

    def send_signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        if self._process is None:
            return
        self.meter.end()
        self._process.kill()
        self._process.wait()

    def request_stop(self) -> None:
        """Send SIGTERM; SIGCONT first, so that a stopped process receives it."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def last_line(self) -> str:
        """The last line of the log, for error messages."""
        lines = self.log.read_text(errors="replace").strip().splitlines() if self.log.exists() else []
        return lines[-1][-MAX_QUOTED_CHARS:] if lines else "exited"

    def _spawn(self, log: int) -> subprocess.Popen[bytes]:
        # A separate session: Ctrl-C in the terminal reaches only the harness, which then stops the children.
        return subprocess.Popen(self._command, env=self._environ, stdin=subprocess.DEVNULL,
                                stdout=log, stderr=log, start_new_session=True)  # fmt: skip


class HollowChild(Child):
    """A process of hollow gateways. `on_report` is called with each of its reports, in order."""

    def __init__(
        self, name: str, command: Sequence[str], folder: Path, on_report: Callable[[Report], None]
    ) -> None:
        super().__init__(name, command, {}, folder)
        self._on_report = on_report
        self._reader: gevent.Greenlet[..., None] | None = None

    def send_order(self, order: Order) -> None:
        """Send an order; ignored if the process has exited."""
        process = self._process
        if process is None or process.stdin is None:
            return
        try:
            process.stdin.write(to_line(order).encode() + b"\n")
            process.stdin.flush()
        except OSError:
            return

    def request_stop(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_order(EndHollow())

    def join(self, within_s: float) -> None:
        """Wait until all output that the process wrote before its exit has been read."""
        if self._reader is not None:
            self._reader.join(timeout=within_s)

    def _spawn(self, log: int) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(self._command, env=self._environ, stdin=subprocess.PIPE,
                                   stdout=subprocess.PIPE, stderr=log, start_new_session=True)  # fmt: skip
        self._reader = gevent.spawn(self._read, process)
        return process

    def _read(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        for line in FileObjectPosix(process.stdout.fileno(), "rb", closefd=False):
            report = from_line(line.decode(errors="replace"))
            if report is not None and not isinstance(report, Order):
                self._on_report(report)


def stop_all(children: Sequence[Child], within_s: float = STOP_TIMEOUT_S) -> None:
    """Ask all processes to stop, and kill those still running after `within_s`."""
    for child in children:
        child.request_stop()
    deadline = time.monotonic() + within_s
    while any(child.running for child in children) and time.monotonic() < deadline:
        gevent.sleep(POLL_S)
    for child in children:
        if child.running:
            child.kill()


def wait_until(condition: Callable[[], bool], within_s: float, children: Sequence[Child],
               what: Callable[[], str]) -> None:  # fmt: skip
    """Wait for a condition. Raises StartError if a child exits or time runs out, with the text of `what`."""
    deadline = time.monotonic() + within_s
    while not condition():
        for child in children:
            if not child.running:
                raise StartError(f"{child.name}: {child.last_line()}")
        if time.monotonic() > deadline:
            raise StartError(what())
        gevent.sleep(POLL_S)
