"""Builds a running member from the operator's configuration: adapter, lease times and drill."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from stackrouter.config import address_of
from stackrouter.coord.lease import Timing
from stackrouter.coord.member import Member, boottime_us
from stackrouter.coord.policy import HeartbeatRules
from stackrouter.coord.port import Coordination as Store
from stackrouter.core.counters import Counters
from stackrouter.edge.config import Coordination
from stackrouter.errors import EdgeNameError, FolderError, TimesError
from stackrouter.net.discovery import Discovery

if TYPE_CHECKING:
    from stackrouter.coord.raft import Raft

log = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 4  # sent while the lease is valid: three may be lost


def timing(conf: Coordination, position: int, members: int) -> Timing:
    """The lease times. `position`: index among the members; each requests a free duty a little later than the
    previous one."""
    ttl_us, drift_us = conf.ttl_ms * 1000, conf.max_drift_ms * 1000
    renew_us = (ttl_us - drift_us) // RENEWALS_PER_LEASE
    stagger_us = position * min(20_000, ttl_us // 20 // max(1, members))
    return Timing(ttl_us, drift_us, renew_us, min(renew_us, 1_000_000), stagger_us)


def join(conf: Coordination, name: str, discovery: Discovery, counters: Counters,
         take_policy: Callable[[str], None]) -> Member:  # fmt: skip
    """Start this gateway's member. Raises a ConfigError if the gateway is not one of the peers, or if the
    journal's folder cannot be written."""
    name = conf.member or name
    position = position_of(conf, name)
    rate = 1 + (conf.drill.clock_ppm / 1e6 if conf.drill else 0.0)
    clock = partial(boottime_us, rate)
    member = Member(name, store(conf, position), timing(conf, position, len(conf.peer)), conf.stale_ms * 1000,
                    counters, clock=clock)  # fmt: skip
    member.join(discovery)
    if conf.policy.enabled:
        member.keep_policy(policy_rules(conf), take_policy)
    member.start()
    if conf.drill is not None:
        from stackrouter.coord.drill import Drill

        Drill(member, address_of(conf.drill.receiver, "coordination.drill.receiver"),
              conf.drill.every_ms / 1000, conf.drill.work_ms / 1000).start()  # fmt: skip
    log.info("coordination by %s as %s", conf.store, member.incarnation)
    return member


def position_of(conf: Coordination, name: str) -> int:
    """This member's index among the peers; 0 for a member of etcd that is not listed."""
    names = [peer.name for peer in conf.peer]
    if conf.store == "raft" and name not in names:
        message = f"must be one of the peers ({', '.join(names)}), not {name!r}"
        raise EdgeNameError(message, key="coordination.member")
    return names.index(name) if name in names else 0


def policy_rules(conf: Coordination) -> HeartbeatRules:
    """The policy's heartbeat rules, with the drift bound scaled from the lease's ttl."""
    validity_us = conf.policy.touch_ms * 1000
    drift_us = validity_us * conf.max_drift_ms // conf.ttl_ms
    return HeartbeatRules(validity_us, drift_us, conf.policy.on_loss == "refuse")


def store(conf: Coordination, position: int) -> Store:
    """The adapter that the configuration selects."""
    if conf.store == "etcd":
        from stackrouter.coord.etcd import Etcd

        return Etcd([address_of(a, "etcd") for a in conf.etcd], conf.prefix, conf.ttl_ms * 1000)
    return raft_store(conf, position)


def raft_store(conf: Coordination, position: int) -> Raft:
    """The embedded Raft adapter. Raises a ConfigError for an unusable folder or election timeout."""
    from stackrouter.coord.raft import Peer, Raft

    peers = [Peer(peer.name, peer.address, peer.dial) for peer in conf.peer]
    local = peers[position]
    try:
        return Raft(local, peers, conf.election_ms * 1000, Path(conf.folder))
    except OSError as error:
        raise FolderError(error.strerror, file=conf.folder, key="coordination.folder") from None
    except AssertionError:
        message = "too short for the heartbeats within it"
        raise TimesError(message, key="coordination.election_ms") from None
