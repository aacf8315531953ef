"""A control replica with a planted fault, for tests of the scale run: `python -m
stackrouter.fleet.scale.planted FILE`.

It drops one delta: the activation of one version is passed on as an activation of the version before, so
that its gateways are in order by their numbers, and do not serve under the version.
"""

from __future__ import annotations

import sys

from stackrouter.controlplane import process
from stackrouter.controlplane.frames_pb2 import Delta
from stackrouter.controlplane.replica import ReplicaAction, ReplicaStateMachine

DROPPED_VERSION = 2


class DroppingReplica(ReplicaStateMachine):
    """Drops the activation of DROPPED_VERSION."""

    def committed(self, number: int, delta: Delta, now: int) -> list[ReplicaAction]:
        if delta.activated == DROPPED_VERSION:
            delta = Delta(number=number, activated=DROPPED_VERSION - 1)
        return super().committed(number, delta, now)


def main() -> int:
    """The only argument names the operator's file of the replica."""
    vars(process)["ReplicaStateMachine"] = DroppingReplica
    return process.main(sys.argv[1])


if __name__ == "__main__":
    sys.exit(main())
