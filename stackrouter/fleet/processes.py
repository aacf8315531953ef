"""The members of a harness as processes of the program."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence

import gevent

from stackrouter.fleet.member_files import MemberPlace

STOP_S = 6.0  # a member that has not ended so long after SIGTERM is killed
POLL_S = 0.02


class MemberProcesses:
    """`programs`: by member, the process that was started last; `down`: members that a fault has killed and
    that are to be started again."""

    def __init__(self, places: Sequence[MemberPlace]) -> None:
        self.places = places
        self.programs: dict[int, subprocess.Popen[bytes]] = {}
        self.down: set[int] = set()
        self._started_at: dict[int, float] = {}

    def start(self, i: int) -> None:
        """Start member i; what it says is added to its log."""
        place = self.places[i]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environ |= {"GW_CONFIG": str(place.config), "GW_EDGE": str(place.operators_file)}
        command = [sys.executable, "-m", "stackrouter"]
        with place.log.open("ab") as log:
            self.programs[i] = subprocess.Popen(command, env=environ, stdout=log, stderr=log,
                                                start_new_session=True)  # fmt: skip
        self._started_at[i] = time.monotonic()

    def kill(self, i: int) -> None:
        """SIGKILL, and wait until it is gone."""
        self.programs[i].kill()
        self.programs[i].wait()

    def signal(self, i: int, number: signal.Signals) -> None:
        """Send a signal to member i, unless it has ended."""
        if self.programs[i].poll() is None:
            self.programs[i].send_signal(number)

    def is_up(self, i: int) -> bool:
        """Whether member i was started and no fault keeps it down."""
        return i in self.programs and i not in self.down

    def lived_s(self, i: int) -> float:
        """Seconds since member i was started last."""
        return time.monotonic() - self._started_at[i]

    def ended(self) -> str | None:
        """A member that has ended, and the last line that it said; None: all that were started run."""
        for i, program in self.programs.items():
            if program.poll() is not None:
                place = self.places[i]
                said = place.log.read_text(errors="replace").strip()
                return f"{place.name}: {said.splitlines()[-1] if said else 'ended'}"
        return None

    def stop_all(self) -> list[int]:
        """End all members, by force those that do not end by themselves; their exit codes."""
        for program in self.programs.values():
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGTERM)
        until = time.monotonic() + STOP_S
        while any(p.poll() is None for p in self.programs.values()) and time.monotonic() < until:
            gevent.sleep(POLL_S)
        for program in self.programs.values():
            if program.poll() is None:
                program.kill()
        return [program.wait() for program in self.programs.values()]
