"""What a gateway asks of coordination, and what it hears. Both adapters speak these words.

A command changes the fleet's ledger and is answered with whether it took hold. An answer may be lost (the
leader died, the link was cut): the caller then asks again, and every command is written so that a late or a
second taking does no harm. Times are microseconds of the caller's own clock and never travel.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stackrouter.coord.policy import Version

NOBODY = ""
UNKNOWN = (
    "unknown"  # why of an answer that says nothing: the leader changed, and the command may have taken hold
)


@dataclass(frozen=True, slots=True)
class Lease:
    """The ledger's record of a duty. `token` grows with every holder, `seq` with every renewal by it."""

    duty: str
    holder: str = NOBODY
    token: int = 0
    seq: int = 0

    @property
    def mark(self) -> tuple[int, int]:
        """Changes whenever the lease does: who wants to take over names the mark it saw stand still."""
        return self.token, self.seq


@dataclass(frozen=True, slots=True)
class Acquire:
    """Take the duty if its mark is still `over`: it is free, or its holder has let it lapse."""

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
    """Discovery's answer for all members. `base`: the version that it tells what came after; None: it is
    whole. `listing`: discovery's own JSON (index, snapshot, endpoints)."""

    duty: str
    member: str
    token: int
    base: int | None
    listing: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Append:
    """One entry of the replicated log, in the order in which all members see it."""

    kind: str
    member: str
    body: str


@dataclass(frozen=True, slots=True)
class Propose:
    """Make this the next version of the policy, if `base` is the newest there is."""

    member: str
    base: int
    digest: str
    body: str
    after_us: int


@dataclass(frozen=True, slots=True)
class Activate:
    """The version's delay is over by this member's clock: it holds from this entry on."""

    member: str
    number: int


@dataclass(frozen=True, slots=True)
class Present:
    """This member is here and has served under this version for so long. Its answer says that the group still
    hears it."""

    member: str
    serving: int
    for_s: int


@dataclass(frozen=True, slots=True)
class BeginHistory:
    """Give the group's history its identity: random, set once, later ones are refused. Changes are numbered
    from here on. Voters of one group all understand this command before one of them hands it in."""

    member: str
    identity: str


@dataclass(frozen=True, slots=True)
class ServingReport:
    """What the gateways of one replica serve under. `by_version`: policy version and number of gateways;
    `behind`: names of some gateways that serve under an older version than the active one. Both bounded."""

    gateways: int = 0
    by_version: tuple[tuple[int, int], ...] = ()
    behind: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Barrier:
    """A read barrier of a replica: its answer gives the position up to which the replica has applied the log,
    which includes all that was committed before the command was handed in."""

    member: str
    report: ServingReport = ServingReport()  # noqa: RUF009 - frozen


Command = Acquire | Renew | Release | Publish | Append | Propose | Activate | Present | BeginHistory | Barrier


@dataclass(frozen=True, slots=True)
class LogPosition:
    """A place in the numbered changes of one history. Numbers of two histories are never compared."""

    history: str = ""  # empty: none was begun
    number: int = 0  # of the last change that is included


@dataclass(frozen=True, slots=True)
class LedgerState:
    """What observers of the ledger know as of `position`. `nodes`: discovery's JSON items, those that were
    removed included; `nodes_index`: discovery's version of the list, -1: there is no list."""

    position: LogPosition
    policies: tuple[Version, ...]
    active: int
    nodes_index: int
    nodes: tuple[dict[str, Any], ...]


@dataclass(frozen=True, slots=True)
class Answered:
    """The command with this number took hold or was refused (`why` says by what rule, or what was lost)."""

    number: int
    accepted: bool
    lease: Lease | None
    why: str = ""
    position: LogPosition | None = None  # of a Barrier: where the ledger stood as it was applied here


@dataclass(frozen=True, slots=True)
class LeaseSeen:
    lease: Lease


@dataclass(frozen=True, slots=True)
class ListingSeen:
    """A listing was published; `listing` is what was new, `base` as in Publish. `number`: of this change, 0
    where the changes are not numbered (no history was begun)."""

    token: int
    base: int | None
    listing: dict[str, Any]
    number: int = 0


@dataclass(frozen=True, slots=True)
class EntrySeen:
    index: int
    kind: str
    member: str
    body: str


@dataclass(frozen=True, slots=True)
class TermSeen:
    """Who leads the group now, as far as this member knows; NOBODY while nobody does."""

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
    """The group's history has its identity; its changes are numbered from 1."""

    identity: str


@dataclass(frozen=True, slots=True)
class StateReplaced:
    """The whole state as of now, in place of changes that were not told one by one (a snapshot of the library
    was loaded), or because it was asked for. Later events build on it."""

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
    name: str
    address: str
    connected: bool


class Coordination(Protocol):
    """`store_expires`: whether the store itself ends a lease that is not renewed (etcd does). If not, who
    wants the duty watches its mark stand still for a whole ttl."""

    store_expires: bool

    def start(self, wake: Callable[[], None]) -> None:
        """Begin; `wake` is called, from any thread, whenever `events` has something."""

    def ask(self, command: Command) -> int:
        """Hand in a command and return its number at once; its answer may never come."""

    def events(self) -> list[Event]:
        """What was heard since the last call, in order."""

    def listing(self) -> tuple[int, dict[str, Any]] | None:
        """Token and whole list of storage nodes as last published; None: none was."""

    def policies(self) -> list[Version]:
        """The newest committed versions, oldest first."""

    def present(self) -> dict[str, tuple[int, int]]:
        """By member, the version that it said it serves under last, and for how many seconds."""

    def members(self) -> list[MemberView]: ...

    def close(self) -> None: ...
