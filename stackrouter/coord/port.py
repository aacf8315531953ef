"""The coordination port: commands, events and the interface that both adapters implement.

A command changes the fleet's ledger and is answered with whether it was applied. An answer may be lost (the
leader died, the connection was cut): the caller then repeats the command, and every command is defined so
that a delayed or repeated application does no harm. Times are microseconds of the caller's own clock and are
never sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stackrouter.coord.policy import Version

NOBODY = ""
UNKNOWN = "unknown"  # `why` of an answer without a result: the leader changed, and the command may be applied


@dataclass(frozen=True, slots=True)
class Lease:
    """The ledger's record of a duty. `token` grows with every holder, `seq` with every renewal by it."""

    duty: str
    holder: str = NOBODY
    token: int = 0
    seq: int = 0

    @property
    def mark(self) -> tuple[int, int]:
        """Changes whenever the lease does: a takeover names the mark that was seen unchanged."""
        return self.token, self.seq


@dataclass(frozen=True, slots=True)
class Acquire:
    """Acquire the duty if its mark is still `over`: it is free, or its holder has let the lease lapse."""

    duty: str
    member: str
    over: tuple[int, int]


@dataclass(frozen=True, slots=True)
class Renew:
    duty: str
    member: str
    token: int


@dataclass(frozen=True, slots=True)
class Release:
    duty: str
    member: str
    token: int


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish discovery's answer to all members. `base`: the version of the list that the changes follow;
    None: the list is whole. `listing`: discovery's own JSON (index, snapshot, endpoints)."""

    duty: str
    member: str
    token: int
    base: int | None
    listing: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Append:
    """Append one entry to the replicated log; all members see its entries in the same order."""

    kind: str
    member: str
    body: str


@dataclass(frozen=True, slots=True)
class Propose:
    """Commit this as the next version of the policy, if `base` is the newest committed one."""

    member: str
    base: int
    digest: str
    body: str
    after_us: int


@dataclass(frozen=True, slots=True)
class Activate:
    """Activate a version whose delay has passed by this member's clock: it is in force from this entry on."""

    member: str
    number: int


@dataclass(frozen=True, slots=True)
class Present:
    """A member's heartbeat: it has served under version `serving` for `for_s` seconds. The answer shows that
    the member can still commit through the group."""

    member: str
    serving: int
    for_s: int


@dataclass(frozen=True, slots=True)
class BeginHistory:
    """Set the identity of the group's history: random, set once, later ones are refused. Changes are numbered
    from here on. All voters of a group must support this command before one of them submits it."""

    member: str
    identity: str


@dataclass(frozen=True, slots=True)
class ServingReport:
    """Which versions the gateways of one replica serve under. `by_version`: policy version and number of
    gateways; `behind`: names of some gateways that serve under a version older than the active one. Both are
    bounded."""

    gateways: int = 0
    by_version: tuple[tuple[int, int], ...] = ()
    behind: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Barrier:
    """A read barrier of a replica: its answer gives the position up to which the replica has applied the log,
    which includes everything committed before the command was submitted."""

    member: str
    report: ServingReport = ServingReport()  # noqa: RUF009 - frozen


Command = Acquire | Renew | Release | Publish | Append | Propose | Activate | Present | BeginHistory | Barrier


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A position in the numbered changes of one history. Numbers of two histories are never compared."""

    history: str = ""  # empty: no history was begun
    number: int = 0  # of the last change that is included


@dataclass(frozen=True, slots=True)
class LedgerState:
    """The ledger's state at `position`, as observers need it. `nodes`: discovery's JSON items, including
    removed ones; `nodes_index`: discovery's version of the list, -1: there is no list."""

    position: LogPosition
    policies: tuple[Version, ...]
    active: int
    nodes_index: int
    nodes: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Answered:
    """The command with this number was applied or refused (`why`: the violated rule, or the failure)."""

    number: int
    accepted: bool
    lease: Lease | None
    why: str = ""
    position: LogPosition | None = None  # of a Barrier: the ledger's position when it was applied here


@dataclass(frozen=True, slots=True)
class LeaseSeen:
    """The ledger's record of a duty changed."""

    lease: Lease


@dataclass(frozen=True, slots=True)
class ListingSeen:
    """A listing was published; `listing` and `base` as in Publish. `number`: of this change, 0 if changes are
    not numbered (no history was begun)."""

    token: int
    base: int | None
    listing: dict[str, Any]
    number: int = 0


@dataclass(frozen=True, slots=True)
class EntrySeen:
    """An entry was appended to the replicated log."""

    index: int
    kind: str
    member: str
    body: str


@dataclass(frozen=True, slots=True)
class TermSeen:
    """The group's leader as far as this member knows; NOBODY while there is none."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class PolicySeen:
    """A version was committed, by the change `change` (0: changes are not numbered)."""

    version: Version
    change: int = 0


@dataclass(frozen=True, slots=True)
class ActiveSeen:
    """A version was activated, by the change `change` (0: changes are not numbered)."""

    number: int
    change: int = 0


@dataclass(frozen=True, slots=True)
class HistoryBegun:
    """The group's history was given its identity; its changes are numbered from 1."""

    identity: str


@dataclass(frozen=True, slots=True)
class StateReplaced:
    """The whole current state, in place of changes that were not reported one by one (the Raft library loaded
    a snapshot), or because it was requested. Later events build on it."""

    state: LedgerState


Event = (
    PolicySeen
    | ActiveSeen
    | Answered
    | LeaseSeen
    | ListingSeen
    | EntrySeen
    | TermSeen
    | HistoryBegun
    | StateReplaced
)


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member of the group, and whether this one is connected to it."""

    name: str
    address: str
    connected: bool


class Coordination(Protocol):
    """The interface of an adapter. `store_expires`: whether the store itself expires a lease that is not
    renewed (etcd does). If not, a member takes over a duty once its mark is unchanged for a whole ttl."""

    store_expires: bool

    def start(self, wake: Callable[[], None]) -> None:
        """Start; `wake` is called, from any thread, whenever `events` has something to return."""

    def submit(self, command: Command) -> int:
        """Submit a command and return its number at once; the answer may never come."""

    def events(self) -> list[Event]:
        """The events since the last call, in order."""

    def listing(self) -> tuple[int, dict[str, Any]] | None:
        """Token and whole list of storage nodes as last published; None: none was published."""

    def policies(self) -> list[Version]:
        """The newest committed versions, oldest first."""

    def present(self) -> dict[str, tuple[int, int]]:
        """By member, the version it last reported to serve under, and for how many seconds."""

    def members(self) -> list[MemberView]: ...

    def close(self) -> None: ...
