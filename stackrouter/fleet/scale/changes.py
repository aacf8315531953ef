"""Hands changes in, and follows what the replicas hold as committed."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Iterator
from itertools import cycle
from pathlib import Path

import gevent
from gevent.lock import Semaphore

from stackrouter.coord.calls import canonical
from stackrouter.fleet.scale import doors
from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.judge import DIGEST_LETTERS
from stackrouter.fleet.scale.observation import COMMITTED_S, Observation

RETRY_S = 0.1
GIVE_UP_S = 10.0  # an election and more: a change that is not committed by then is none


class Changes:
    """Each change differs from all others, so its digest says which committed version came of it, also of a
    change that was given up and took hold later."""

    def __init__(self, harness: Harness, observation: Observation) -> None:
        self._harness, self._observation = harness, observation
        self._one_at_a_time = Semaphore()
        self._voters: Iterator[str] = cycle(p.name for p in harness.layout.replicas if p.votes)
        self._handed_in: dict[str, int] = {}  # by digest, as admin sockets tell it
        self.newest = 0  # version that is known to be committed
        self.refused: list[str] = []  # of each change that was given up: what was answered last

    def change_policy(self) -> None:
        """Propose a new version until it is known to be committed."""
        with self._one_at_a_time:
            file = self._harness.new_policy()
            digest = _digest(file)
            self._handed_in[digest] = time.monotonic_ns()
            answer, until = "", time.monotonic() + GIVE_UP_S
            while time.monotonic() < until:
                answer = self._propose(file)
                if digest not in self._handed_in:
                    return
                gevent.sleep(RETRY_S)
            self.refused.append(answer)

    def change_list(self, number: int) -> None:
        """A storage node begins to drain, or is up again."""
        discovery = self._harness.discovery
        name = f"s-{number + 1}"
        status = "up" if discovery.entries[name]["status"] == "draining" else "draining"
        at = time.monotonic_ns()
        discovery.change(name, status=status)
        self._observation.handed_in("list", discovery.index, "", at)

    def watch_committed(self) -> None:
        """Ask the voters in turn, for ever."""
        while True:
            self.ask()
            gevent.sleep(COMMITTED_S)

    def ask(self) -> None:
        """Ask one voter which versions it holds as committed."""
        self._learn(doors.policy_versions(self._next_admin()) or [])

    def _propose(self, file: Path) -> str:
        """Propose it on top of the newest known version; what was answered if that is not known to have
        worked."""
        proposed = doors.propose(self._next_admin(), self.newest, str(file))
        if proposed.number:
            self._learn([doors.KnownVersion(proposed.number, proposed.digest)])
        else:
            self.ask()
        return proposed.why

    def _next_admin(self) -> int:
        return self._harness.replica_ports[next(self._voters)].admin

    def _learn(self, versions: list[doors.KnownVersion]) -> None:
        self._observation.committed(versions)
        for version in versions:
            self.newest = max(self.newest, version.number)
            if (at := self._handed_in.pop(version.digest, None)) is not None:
                self._observation.handed_in("policy", version.number, version.digest, at)


def _digest(file: Path) -> str:
    """Of the settings in a file, as admin sockets tell it."""
    text = canonical(file.read_text(encoding="utf-8"))
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LETTERS]
