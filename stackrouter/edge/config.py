"""Data classes for the operator's settings file, with the bounds of each field. See edge.proto."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated, Literal

from annotated_types import Ge, Le, Len

from stackrouter.config import address_of
from stackrouter.errors import AddressError

Port = Annotated[int, Ge(0), Le(65535)]
TimeoutMs = Annotated[int, Ge(1), Le(3_600_000)]
Name = Annotated[str, Len(1, 64)]
Prefix = Annotated[str, Len(1, 1024)]


@dataclass(frozen=True, slots=True)
class SftpVolume:
    """Maps paths with this prefix to a volume."""

    prefix: Prefix
    volume: Name
    plan: Name
    shard: Annotated[int, Ge(0), Le(1_000_000)] = 0
    gateways: Annotated[int, Ge(1), Le(100_000)] = 1


@dataclass(frozen=True, slots=True)
class Sftp:
    """The SFTP-style front."""

    enabled: bool = False
    listen: str = ""
    node_port: Port = 0
    read_class: str = ""
    write_class: str = ""
    read_wait_ms: TimeoutMs | None = None
    write_wait_ms: TimeoutMs | None = None
    unit_bytes: Annotated[int, Ge(1), Le(1 << 30)] = 8192
    volume: tuple[SftpVolume, ...] = ()


@dataclass(frozen=True, slots=True)
class Accounts:
    """Latency accounts."""

    enabled: bool = False
    pairs: Annotated[int, Ge(16), Le(1_000_000)] = 4096


@dataclass(frozen=True, slots=True)
class Trace:
    """The trace of requests on disk."""

    enabled: bool = False
    file: str = ""
    most_mb: Annotated[int, Ge(1), Le(65_536)] = 64
    keep: Annotated[int, Ge(0), Le(1000)] = 4


@dataclass(frozen=True, slots=True)
class Log:
    """Format of log lines."""

    format: Literal["plain", "text", "json"] = "plain"  # plain: does not import structlog


@dataclass(frozen=True, slots=True)
class Peer:
    """A member of the coordination group."""

    name: Name
    address: str
    dial: str = ""


@dataclass(frozen=True, slots=True)
class Drill:
    """Artificial duty for fault drills."""

    receiver: str
    every_ms: Annotated[int, Ge(1), Le(60_000)] = 40
    work_ms: Annotated[int, Ge(0), Le(60_000)] = 8
    clock_ppm: Annotated[int, Ge(-900_000), Le(900_000)] = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """Settings that are changed on all members together."""

    enabled: bool = False
    touch_ms: Annotated[int, Ge(100), Le(600_000)] = 2000
    after_ms: Annotated[int, Ge(100), Le(600_000)] = 3000
    on_loss: Literal["refuse", "serve"] = "refuse"


@dataclass(frozen=True, slots=True)
class Coordination:
    """Coordination among gateways or voting replicas."""

    enabled: bool = False
    store: Literal["raft", "etcd"] = "raft"
    member: str = ""
    peer: Annotated[tuple[Peer, ...], Len(0, 64)] = ()
    folder: str = ""
    etcd: Annotated[tuple[str, ...], Len(0, 16)] = ()
    prefix: Annotated[str, Len(1, 256)] = "stackrouter/"
    ttl_ms: Annotated[int, Ge(100), Le(600_000)] = 3000
    max_drift_ms: Annotated[int, Ge(0), Le(600_000)] = 300
    election_ms: Annotated[int, Ge(50), Le(60_000)] = 800
    stale_ms: Annotated[int, Ge(100), Le(600_000)] = 5000
    policy: Policy = field(default_factory=Policy)
    drill: Drill | None = None

    def problem(self) -> str | None:
        """Check the fields against each other. Returns the field and the rule that it breaks, or None."""
        touch_ms = self.policy.touch_ms
        if self.policy.enabled and self.policy.after_ms <= touch_ms:
            return f"policy.after_ms: must be more than policy.touch_ms ({touch_ms})"
        names = [peer.name for peer in self.peer]
        addresses = [peer.address for peer in self.peer]
        if self.max_drift_ms * 2 >= self.ttl_ms:
            return f"max_drift_ms: must be less than half of ttl_ms ({self.ttl_ms}), not {self.max_drift_ms}"
        if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
            return "peer: names and addresses must differ"
        if self.member and names and self.member not in names:
            return f"member: must be one of the peers ({', '.join(names)}), not {self.member!r}"
        if self.store == "raft" and not self.peer:
            return "peer: must be set where store is raft"
        if self.store == "raft" and not self.folder:
            return "folder: must be set where store is raft"
        if self.store == "etcd" and not self.etcd:
            return "etcd: must be set where store is etcd"
        try:
            for field_name, address in self._addresses():
                address_of(address, field_name)
        except AddressError as error:
            return str(error)
        return None

    def _addresses(self) -> Iterator[tuple[str, str]]:
        for i, peer in enumerate(self.peer):
            yield f"peer[{i}].address", peer.address
            if peer.dial:
                yield f"peer[{i}].dial", peer.dial
        yield from ((f"etcd[{i}]", address) for i, address in enumerate(self.etcd))
        if self.drill is not None:
            yield "drill.receiver", self.drill.receiver


@dataclass(frozen=True, slots=True)
class Replica:
    """A control replica to connect to."""

    name: Name
    address: str
    region: Name


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Resource limits of a control replica."""

    gateways: Annotated[int, Ge(1), Le(20_000)] = 2000
    queued_kb: Annotated[int, Ge(64), Le(1 << 20)] = 4096
    snapshots: Annotated[int, Ge(1), Le(1000)] = 8
    snapshot_kb_s: Annotated[int, Ge(64), Le(1 << 22)] = 16_384
    deltas: Annotated[int, Ge(1), Le(1_000_000)] = 4096
    deltas_kb: Annotated[int, Ge(64), Le(1 << 20)] = 8192
    barrier_interval_ms: Annotated[int, Ge(1), Le(10_000)] = 100


@dataclass(frozen=True, slots=True)
class Control:
    """A separate control plane: settings of a gateway that observes it, or of one of its replicas."""

    enabled: bool = False
    region: Annotated[str, Len(0, 64)] = ""
    replica: Annotated[tuple[Replica, ...], Len(0, 64)] = ()
    name: Annotated[str, Len(0, 64)] = ""
    listen: str = ""
    admin: str = ""
    discovery: str = ""
    touch_ms: Annotated[int, Ge(100), Le(600_000)] = 2000
    max_drift_ms: Annotated[int, Ge(0), Le(600_000)] = 200
    on_loss: Literal["refuse", "serve"] = "refuse"
    stale_ms: Annotated[int, Ge(100), Le(600_000)] = 5000
    limits: ReplicaLimits = field(default_factory=ReplicaLimits)

    def problem(self, coordination: Coordination) -> str | None:
        """Check the fields against each other. Returns the field and the rule that it breaks, or None."""
        if self.enabled:
            return self._gateway_problem(coordination) or self._common_problem()
        if self.listen and coordination.enabled:
            return self._voter_problem(coordination) or self._common_problem()
        if self.listen:
            return self._observing_replica_problem() or self._common_problem()
        return None

    def _gateway_problem(self, coordination: Coordination) -> str | None:
        if coordination.enabled:
            return "enabled: a gateway that observes replicas is no member, so coordination must be off"
        for name in ("listen", "admin", "discovery", "name"):
            if getattr(self, name):
                return f"{name}: is for a replica, and must not be set where enabled is"
        return self._first_unset("region", "replica")

    def _voter_problem(self, coordination: Coordination) -> str | None:
        if self.replica:
            return "replica: must not be set where coordination is enabled: a voting replica observes none"
        if self.name:
            return (
                "name: must not be set where coordination is enabled: coordination.member names the replica"
            )
        if coordination.store != "raft":
            return "listen: coordination.store must be raft in a voting replica"
        if not coordination.policy.enabled:
            return "listen: coordination.policy must be enabled in a voting replica"
        if coordination.drill is not None:
            return "listen: coordination.drill must not be set in a voting replica"
        if coordination.policy.after_ms <= self.touch_ms:
            return (
                f"touch_ms: must be less than coordination.policy.after_ms ({coordination.policy.after_ms})"
            )
        return self._first_unset("admin", "discovery")

    def _observing_replica_problem(self) -> str | None:
        if self.discovery:
            return "discovery: only a voting replica asks discovery; must not be set without coordination"
        if self.name in {replica.name for replica in self.replica}:
            return f"replica: must be other replicas than this one ({self.name})"
        return self._first_unset("name", "admin", "replica")

    def _first_unset(self, *names: str) -> str | None:
        missing = [name for name in names if not getattr(self, name)]
        return f"{missing[0]}: must be set" if missing else None

    def _common_problem(self) -> str | None:
        names = [replica.name for replica in self.replica]
        addresses = [replica.address for replica in self.replica]
        if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
            return "replica: names and addresses must differ"
        if self.max_drift_ms * 2 >= self.touch_ms:
            return (
                f"max_drift_ms: must be less than half of touch_ms ({self.touch_ms}), not {self.max_drift_ms}"
            )
        try:
            for field_name, address in self._addresses():
                address_of(address, field_name)
        except AddressError as error:
            return str(error)
        return None

    def _addresses(self) -> Iterator[tuple[str, str]]:
        for name in ("listen", "admin", "discovery"):
            if address := getattr(self, name):
                yield name, address
        for i, replica in enumerate(self.replica):
            yield f"replica[{i}].address", replica.address


@dataclass(frozen=True, slots=True)
class Edge:
    """The whole file."""

    sftp: Sftp = field(default_factory=Sftp)
    accounts: Accounts = field(default_factory=Accounts)
    trace: Trace = field(default_factory=Trace)
    log: Log = field(default_factory=Log)
    coordination: Coordination = field(default_factory=Coordination)
    control: Control = field(default_factory=Control)


# Fields that must be set in a part that is enabled.
REQUIRED_FIELDS = {"sftp": ("listen", "read_class", "write_class", "volume"), "trace": ("file",)}
