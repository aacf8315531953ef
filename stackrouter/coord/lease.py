"""One member's side of one leased duty: events in, actions out, time as an argument. No I/O.

Two rules make two holders at once impossible while clocks run within the stated bound:

- The holder counts from when it *asked*, in its own clock, and stops acting `ttl - max_drift` later unless a
  renewal that it asked for since has been answered.
- Who wants the duty counts from when it *saw* the lease's mark change for the last time, in its own clock,
  and asks to take over only once the mark stood still for a whole `ttl`. The ledger takes that only while
  the mark is the one that was seen.

The holder asked before anybody could see it, so with clocks that run alike it has stopped before anybody
asks. What time a clock shows plays no part; only how fast it runs does. With a holder's clock at rate h and
the other's at rate c (1.0: true), the holder acts for (ttl - max_drift) / h of true time and the other
waits ttl / c: no overlap as long as `ttl * (1 - h / c) <= max_drift`. Beyond that both may believe they
hold the duty, and only the fencing token (fence.py, ledger.py) keeps the slower one's actions out.

Times are microseconds of the member's own clock, which counts on over a suspension of the machine.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from stackrouter.coord.port import NOBODY, Acquire, Answered, Command, Lease, Release, Renew
from stackrouter.errors import TimesError


@dataclass(frozen=True, slots=True)
class Timing:
    """`ttl_us`: how long a lease lasts unrenewed; `max_drift_us`: how far two members' clocks may move apart
    within one ttl; `renew_us`: between renewals; `ask_us`: how long an answer is waited for before the next
    ask; `stagger_us`: how much later than ready this member asks to take over, so that not all ask at
    once."""

    ttl_us: int
    max_drift_us: int
    renew_us: int
    ask_us: int
    stagger_us: int = 0

    def __post_init__(self) -> None:
        if not 0 <= self.max_drift_us < self.ttl_us:
            raise TimesError("must be at least 0 and less than ttl", key="max_drift")
        if not 0 < self.renew_us < self.ttl_us - self.max_drift_us:
            raise TimesError("renewals must come before ttl - max_drift", key="renew")


def bears(timing: Timing, holder_rate: float, other_rate: float) -> bool:
    """Whether two clocks of these rates keep to the stated bound: holder and successor never overlap."""
    return timing.ttl_us * (1 - holder_rate / other_rate) <= timing.max_drift_us


class Phase(enum.Enum):
    """Where a lease client stands."""

    WAITING = "waiting"  # somebody else may hold it
    ASKING = "asking"  # has asked to take it
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class Ask:
    """Hand this command in; `number` comes back in `LeaseClient.numbered`."""

    command: Command


@dataclass(frozen=True, slots=True)
class Begin:
    """Act under this token from now on, as long as `LeaseClient.acting` says so."""

    duty: str
    token: int


@dataclass(frozen=True, slots=True)
class End:
    """Stop acting. `why`: lapsed (could not renew in time), lost (another holds it), released."""

    duty: str
    token: int
    why: str


Action = Ask | Begin | End


class LeaseClient:
    """`phase`: whether it holds the duty, as far as it knows; `seen`: the ledger's record as last heard;
    `wanted`: False makes it give the duty back and ask no more."""

    def __init__(self, duty: str, member: str, timing: Timing, now: int, store_expires: bool = False) -> None:
        """`member`: a name that no other life of this gateway has: a lease held under another is not ours."""
        self.duty, self.member, self.timing = duty, member, timing
        self.phase = Phase.WAITING
        self.seen = Lease(duty)
        self.wanted = True
        self._store_expires = store_expires
        self._still_since = now  # since when the mark has stood still before our eyes
        self._token = 0
        self._until = 0  # the deadline of our own acting
        self._asked: dict[int, int] = {}  # when the asks were made that may yet be answered
        self._ask_at = now  # not before this does the next ask go out
        self._over: tuple[tuple[int, int], int] | None = None  # a mark we asked to take over, and when first

    def acting(self, now: int) -> int | None:
        """The token to act under now; None: do not act. To be asked before every action of the duty."""
        return self._token if self.phase is Phase.HOLDING and now < self._until else None

    def numbered(self, number: int, now: int) -> None:
        """The number under which an ask of now was handed in."""
        self._asked = {n: at for n, at in self._asked.items() if now - at < self.timing.ttl_us}
        self._asked[number] = now

    def saw(self, lease: Lease, now: int) -> list[Action]:
        """The ledger's record, as this member has come to know it."""
        before = self.seen.mark
        if (lease.mark, lease.holder) != (self.seen.mark, self.seen.holder):
            self._still_since = now
        self.seen = lease
        # A record told again (a snapshot) has the token it had: only a higher one can be our ask's doing.
        mine = lease.holder == self.member and lease.seq == 0 and lease.token > before[0]
        if self.phase is not Phase.HOLDING and mine:
            return self._adopt(lease.token, before, now)
        if self.phase is Phase.HOLDING and (lease.token > self._token or lease.holder != self.member):
            return self._end("lost", now)
        return self.tick(now)

    def _adopt(self, token: int, before: tuple[int, int], now: int) -> list[Action]:
        """The ledger names us, and no answer has said so: it was lost, or is yet to come. Only an ask over
        the mark that stood before can have done that, and the first of those is the one to count from."""
        until = self._over[1] + self.timing.ttl_us - self.timing.max_drift_us if self._over else 0
        if self._over is None or self._over[0] != before or now >= until:
            return self.tick(now)
        self.phase, self._token, self._until = Phase.HOLDING, token, until
        self._ask_at = now
        return [Begin(self.duty, token), *self.tick(now)]

    def answered(self, answer: Answered, now: int) -> list[Action]:
        asked_at = self._asked.pop(answer.number, None)
        if asked_at is None:
            return []  # a release, or an ask of a holding that is over: what it did shows in the ledger
        holding = self.phase is Phase.HOLDING
        if not answer.accepted or answer.lease is None or answer.lease.holder != self.member:
            if holding and answer.why == "token":
                return self._end("lost", now)
            self.phase = self.phase if holding else Phase.WAITING
            self._ask_at = now + self.timing.ask_us // 2
            return self.tick(now)
        until = asked_at + self.timing.ttl_us - self.timing.max_drift_us
        self._ask_at = asked_at + self.timing.renew_us
        if holding:
            self._until = max(self._until, until)
            return self.tick(now)
        self.phase = Phase.WAITING
        if now >= until or self.seen.token > answer.lease.token:
            return []  # known so late that it is over, or that another has followed: never begun
        self.phase, self._token, self._until = Phase.HOLDING, answer.lease.token, until
        return [Begin(self.duty, self._token), *self.tick(now)]

    def tick(self, now: int) -> list[Action]:
        """Whatever is due by now."""
        if self.phase is Phase.HOLDING:
            if now >= self._until:
                return self._end("lapsed", now)
            if not self.wanted:
                return [Ask(Release(self.duty, self.member, self._token)), *self._end("released", now)]
            if now >= self._ask_at:
                self._ask_at = now + self.timing.ask_us
                return [Ask(Renew(self.duty, self.member, self._token))]
            return []
        if self.wanted and now >= self._take_at():
            self.phase, self._ask_at = Phase.ASKING, now + self.timing.ask_us
            if self._over is None or self._over[0] != self.seen.mark:
                self._over = self.seen.mark, now
            return [Ask(Acquire(self.duty, self.member, self.seen.mark))]
        return []

    def next_at(self) -> int | None:
        """When `tick` has something to do at the latest; None: only after the next event."""
        if self.phase is Phase.HOLDING:
            return min(self._until, self._ask_at)
        return self._take_at() if self.wanted else None

    def _take_at(self) -> int:
        """When to ask for the duty: nobody's at once, another's once its mark stood still for a ttl."""
        watched = self.seen.holder != NOBODY and not self._store_expires
        still = self._still_since + (self.timing.ttl_us if watched else 0)
        return max(self._ask_at, still + self.timing.stagger_us)

    def _end(self, why: str, now: int) -> list[Action]:
        self.phase, self._still_since, self._ask_at = Phase.WAITING, now, now + self.timing.ask_us
        self._asked.clear()
        return [End(self.duty, self._token, why)]
