"""A control replica with a planted fault, for tests of the scale run: `python -m
stackrouter.fleet.scale.planted FILE`.

It suppresses one delta: it replaces the activation of one version by an activation of the previous version.
The sequence numbers that its gateways receive stay contiguous, but they never serve under that version.
"""

from __future__ import annotations

import sys

from stackrouter.controlplane import process
from stackrouter.controlplane.frames_pb2 import Delta
from stackrouter.controlplane.replica import ReplicaAction, ReplicaStateMachine

DROPPED_VERSION = 2


class DroppingReplica(ReplicaStateMachine):
    """Replaces the activation of DROPPED_VERSION by one of the previous version."""

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        if delta.activated == DROPPED_VERSION:
            delta = Delta(number=number, activated=DROPPED_VERSION - 1)
        return super().committed(number, delta, now)


def main() -> int:
    """Run a replica with the configuration file named by the only argument."""
    vars(process)["ReplicaStateMachine"] = DroppingReplica
    return process.main(sys.argv[1])


if __name__ == "__main__":
    sys.exit(main())
