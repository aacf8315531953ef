"""Starts, signals and stops the member processes of a harness."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence

import gevent

from stackrouter.fleet.member_files import MemberPlace

STOP_TIMEOUT_S = 6.0  # a member that has not ended this long after SIGTERM is killed
POLL_S = 0.02


class MemberProcesses:
    """`programs`: the most recently started process of each member; `down`: members that a fault has killed
    and that have not been restarted yet."""

    def __init__(self, places: Sequence[MemberPlace]) -> None:
        self.places = places
        self.programs: dict[int, subprocess.Popen[bytes]] = {}
        self.down: set[int] = set()
        self._started_at: dict[int, float] = {}

    def start(self, i: int) -> None:
        """Starts member i; its output is appended to its log file."""
        place = self.places[i]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment |= {"GW_CONFIG": str(place.config), "GW_EDGE": str(place.operators_file)}
        command = [sys.executable, "-m", "stackrouter"]
        with place.log.open("ab") as log:
            self.programs[i] = subprocess.Popen(command, env=environment, stdout=log, stderr=log,
                                                start_new_session=True)  # fmt: skip
        self._started_at[i] = time.monotonic()

    def kill(self, i: int) -> None:
        """Sends SIGKILL to member i and waits for its process to end."""
        self.programs[i].kill()
        self.programs[i].wait()

    def signal(self, i: int, number: signal.Signals) -> None:
        """Sends a signal to member i, unless it has ended."""
        if self.programs[i].poll() is None:
            self.programs[i].send_signal(number)

    def is_up(self, i: int) -> bool:
        """Whether member i has been started and is not down because of a fault."""
        return i in self.programs and i not in self.down

    def uptime_s(self, i: int) -> float:
        """Seconds since the last start of member i."""
        return time.monotonic() - self._started_at[i]

    def ended(self) -> str | None:
        """The name and last log line of a member that has ended; None if all started members run."""
        for i, program in self.programs.items():
            if program.poll() is not None:
                place = self.places[i]
                output = place.log.read_text(errors="replace").strip()
                return f"{place.name}: {output.splitlines()[-1] if output else 'ended'}"
        return None

    def stop_all(self) -> list[int]:
        """Sends SIGTERM to all members, kills those that do not end in time, and returns the exit codes."""
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while any(p.poll() is None for p in self.programs.values()) and time.monotonic() < deadline:
            gevent.sleep(POLL_S)
        for program in self.programs.values():
            if program.poll() is None:
                program.kill()
        return [program.wait() for program in self.programs.values()]
