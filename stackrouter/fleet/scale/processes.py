"""The processes of a scale run: started, stopped, killed and started again, each by its own process id."""

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

STOP_S = 4.0
POLL_S = 0.02
QUOTED = 300  # characters of a process's last line


class Child:
    """One role in the run, borne by one process after the other. Its standard error, and its output where
    nobody reads it, go to a log file."""

    def __init__(self, name: str, command: Sequence[str], environ: dict[str, str], folder: Path) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self.meter = ProcessMeter()
        self._command = [sys.executable, *command]
        # Variables of the gateway that runs this command must not reach the gateways that are started here.
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
        """Count what the role costs from now on, or up to now."""
        self._measured = on
        if on:
            self.meter.begin(self.pid)
        else:
            self.meter.end()

    def send_signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        if self._process is None:
            return
        self.meter.end()
        self._process.kill()
        self._process.wait()

    def ask_to_end(self) -> None:
        """SIGTERM, also where it is stopped."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)

    def last_line(self) -> str:
        """Of its log, for errors."""
        lines = self.log.read_text(errors="replace").strip().splitlines() if self.log.exists() else []
        return lines[-1][-QUOTED:] if lines else "ended"

    def _spawn(self, log: int) -> subprocess.Popen[bytes]:
        # A session of its own: Ctrl-C in the terminal is for the harness, which then ends all in order.
        return subprocess.Popen(self._command, env=self._environ, stdin=subprocess.DEVNULL,
                                stdout=log, stderr=log, start_new_session=True)  # fmt: skip


class HollowChild(Child):
    """A process of hollow gateways. `heard` is called with each report of it, in order."""

    def __init__(
        self, name: str, command: Sequence[str], folder: Path, heard: Callable[[Report], None]
    ) -> None:
        super().__init__(name, command, {}, folder)
        self._heard = heard
        self._reader: gevent.Greenlet[..., None] | None = None

    def order(self, order: Order) -> None:
        """Hand an order in; a process that is gone takes none."""
        process = self._process
        if process is None or process.stdin is None:
            return
        try:
            process.stdin.write(to_line(order).encode() + b"\n")
            process.stdin.flush()
        except OSError:
            return

    def ask_to_end(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.order(EndHollow())

    def join(self, within_s: float) -> None:
        """Wait until all that it wrote before its end was read."""
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
                self._heard(report)


def end_all(children: Sequence[Child], within_s: float = STOP_S) -> None:
    """Ask all to end, and kill those that do not."""
    for child in children:
        child.ask_to_end()
    until = time.monotonic() + within_s
    while any(child.running for child in children) and time.monotonic() < until:
        gevent.sleep(POLL_S)
    for child in children:
        if child.running:
            child.kill()


def wait_until(condition: Callable[[], bool], within_s: float, children: Sequence[Child],
               what: Callable[[], str]) -> None:  # fmt: skip
    """StartError: a child has ended, or it did not come so in time; `what` says how far it came."""
    until = time.monotonic() + within_s
    while not condition():
        for child in children:
            if not child.running:
                raise StartError(f"{child.name}: {child.last_line()}")
        if time.monotonic() > until:
            raise StartError(what())
        gevent.sleep(POLL_S)
