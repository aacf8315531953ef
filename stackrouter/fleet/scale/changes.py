"""Submits policy and node list changes, and tracks which policy versions the replicas have committed."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Iterator
from itertools import cycle
from pathlib import Path

import gevent
from gevent.lock import Semaphore

from stackrouter.coord.calls import canonical
from stackrouter.fleet.scale import admin_client
from stackrouter.fleet.scale.harness import Harness
from stackrouter.fleet.scale.judge import DIGEST_PREFIX_CHARS
from stackrouter.fleet.scale.observation import COMMITTED_POLL_S, Observation

RETRY_S = 0.1
COMMIT_TIMEOUT_S = 10.0  # longer than an election; a change not committed by then is abandoned


class Changes:
    """Submits changes one at a time. The content of each policy change is unique, so its digest identifies
    the committed version that resulted, even if the change was abandoned and committed later."""

    def __init__(self, harness: Harness, observation: Observation) -> None:
        self._harness, self._observation = harness, observation
        self._lock = Semaphore()
        self._voters: Iterator[str] = cycle(p.name for p in harness.layout.replicas if p.votes)
        self._submitted_ns: dict[str, int] = {}  # submission time in ns, by digest prefix as on admin sockets
        self.newest_version = 0  # known to be committed
        self.failure_answers: list[str] = []  # the last answer to each abandoned change

    def change_policy(self) -> None:
        """Propose a new version repeatedly until it is known to be committed or COMMIT_TIMEOUT_S has
        passed."""
        with self._lock:
            file = self._harness.new_policy()
            digest = _digest(file)
            self._submitted_ns[digest] = time.monotonic_ns()
            answer, deadline = "", time.monotonic() + COMMIT_TIMEOUT_S
            while time.monotonic() < deadline:
                answer = self._propose(file)
                if digest not in self._submitted_ns:
                    return
                gevent.sleep(RETRY_S)
            self.failure_answers.append(answer)

    def change_list(self, number: int) -> None:
        """Toggle the status of a storage node between `draining` and `up`."""
        discovery = self._harness.discovery
        name = f"s-{number + 1}"
        status = "up" if discovery.entries[name]["status"] == "draining" else "draining"
        at = time.monotonic_ns()
        discovery.change(name, status=status)
        self._observation.record_change("list", discovery.index, "", at)

    def watch_committed(self) -> None:
        """Poll the voters in turn until killed."""
        while True:
            self.poll_committed()
            gevent.sleep(COMMITTED_POLL_S)

    def poll_committed(self) -> None:
        """Ask the next voter which versions are committed."""
        self._record_versions(admin_client.policy_versions(self._next_admin_port()) or [])

    def _propose(self, file: Path) -> str:
        """Propose the file on top of the newest known version. Returns the replica's answer if the proposal
        is not known to have succeeded, otherwise an empty string."""
        proposed = admin_client.propose(self._next_admin_port(), self.newest_version, str(file))
        if proposed.number:
            self._record_versions([admin_client.KnownVersion(proposed.number, proposed.digest)])
        else:
            self.poll_committed()
        return proposed.why

    def _next_admin_port(self) -> int:
        return self._harness.replica_ports[next(self._voters)].admin

    def _record_versions(self, versions: list[admin_client.KnownVersion]) -> None:
        self._observation.record_committed(versions)
        for version in versions:
            self.newest_version = max(self.newest_version, version.number)
            if (at := self._submitted_ns.pop(version.digest, None)) is not None:
                self._observation.record_change("policy", version.number, version.digest, at)


def _digest(file: Path) -> str:
    """The digest of the settings in a file, shortened as on admin sockets."""
    text = canonical(file.read_text(encoding="utf-8"))
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_PREFIX_CHARS]
