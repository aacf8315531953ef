"""Hands changes in, and follows what the replicas hold as committed."""

from __future__ import annotations

import time
from collections.abc import Iterator
from itertools import cycle

import gevent
from gevent.lock import Semaphore

from stackrouter.fleet.scale import doors
from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.observation import COMMITTED_S, Observation

RETRY_S = 0.1
GIVE_UP_S = 10.0  # an election and more: a change that is not committed by then is none


class Changes:
    """The only one who proposes: a version that is newer than the base of a proposal is that proposal's."""

    def __init__(self, harness: Harness, observation: Observation) -> None:
        self._harness, self._observation = harness, observation
        self._one_at_a_time = Semaphore()
        self._voters: Iterator[str] = cycle(p.name for p in harness.layout.replicas if p.votes)
        self.newest = 0  # version that is known to be committed
        self.refused: list[str] = []  # of each change that did not come about: what was answered last
        self._last_answer = ""

    def change_policy(self) -> None:
        """Propose a new version until it is known to be committed."""
        with self._one_at_a_time:
            at, base = time.monotonic_ns(), self.newest
            file = str(self._harness.new_policy())
            until = time.monotonic() + GIVE_UP_S
            while time.monotonic() < until:
                if (version := self._propose(base, file)) is not None:
                    self.newest = max(self.newest, version.number)
                    self._observation.committed([version])
                    self._observation.handed_in("policy", version.number, version.digest, at)
                    return
                gevent.sleep(RETRY_S)
            self.refused.append(self._last_answer)

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
            self._ask()
            gevent.sleep(COMMITTED_S)

    def _propose(self, base: int, file: str) -> doors.KnownVersion | None:
        """The version that came of it; None: none is known to."""
        port = self._harness.replica_ports[next(self._voters)].admin
        proposed = doors.propose(port, base, file)
        if proposed.number:
            return doors.KnownVersion(proposed.number, proposed.digest)
        self._last_answer = proposed.why
        newer = [version for version in self._ask() if version.number == base + 1]
        return newer[0] if newer else None

    def _ask(self) -> list[doors.KnownVersion]:
        port = self._harness.replica_ports[next(self._voters)].admin
        versions = doors.policy_versions(port) or []
        self._observation.committed(versions)
        return versions
