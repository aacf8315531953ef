"""Lease client: one member's state machine for one leased duty. Events in, actions out, time is an
argument. No I/O.

Two rules ensure a single holder at any time as long as clock drift stays within the configured bound:

- The holder measures its lease from when it *sent* its request, on its own clock, and stops acting
  `ttl - max_drift` later unless a renewal that it requested later has been confirmed.
- A member that wants the duty measures from when it last *saw* the lease's mark change, on its own clock,
  and requests a takeover only after the mark has been unchanged for a whole `ttl`. The ledger accepts the
  takeover only if the mark is still the one that was seen.

The holder sent its request before any other member could see the resulting change, so with clocks of equal
rate it has stopped before any other member requests the duty. Absolute clock time is irrelevant; only clock
rates matter. With the holder's clock at rate h and the other member's at rate c (1.0: true), the holder acts
for (ttl - max_drift) / h of true time and the other waits ttl / c: no overlap as long as
`ttl * (1 - h / c) <= max_drift`. Beyond that bound both may believe they hold the duty, and only the fencing
token (fence.py, ledger.py) causes the slower one's actions to be rejected.

Times are microseconds of the member's own clock, which keeps counting while the machine is suspended.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from stackrouter.coord.port import NOBODY, Acquire, Answered, Command, Lease, Release, Renew
from stackrouter.errors import TimesError


@dataclass(frozen=True, slots=True)
class Timing:
    """Lease times of one member.

    `ttl_us`: lifetime of a lease without renewal; `max_drift_us`: maximum drift between two members' clocks
    within one ttl; `renew_us`: interval between renewals; `answer_timeout_us`: how long to wait for an answer
    before the request is repeated; `stagger_us`: extra delay of this member before it requests a takeover, so
    that members do not all request it at once.
    """

    ttl_us: int
    max_drift_us: int
    renew_us: int
    answer_timeout_us: int
    stagger_us: int = 0

    def __post_init__(self) -> None:
        if not 0 <= self.max_drift_us < self.ttl_us:
            raise TimesError("must be at least 0 and less than ttl", key="max_drift")
        if not 0 < self.renew_us < self.ttl_us - self.max_drift_us:
            raise TimesError("renewals must come before ttl - max_drift", key="renew")


def within_drift_bound(timing: Timing, holder_rate: float, other_rate: float) -> bool:
    """Whether two clocks of these rates stay within the drift bound: holder and successor never overlap."""
    return timing.ttl_us * (1 - holder_rate / other_rate) <= timing.max_drift_us


class Phase(enum.Enum):
    """State of a lease client."""

    WAITING = "waiting"  # another member may hold the duty
    ASKING = "asking"  # an Acquire has been sent
    HOLDING = "holding"


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit this command and pass its number to `LeaseClient.command_sent`."""

    command: Command


@dataclass(frozen=True, slots=True)
class Begin:
    """The lease was acquired: act under this token while `LeaseClient.fencing_token` returns it."""

    duty: str
    token: int


@dataclass(frozen=True, slots=True)
class End:
    """Stop acting. `why`: lapsed (not renewed in time), lost (another member holds it), released."""

    duty: str
    token: int
    why: str


Action = Submit | Begin | End


class LeaseClient:
    """State machine for one duty of one member.

    `phase`: whether this member holds the duty, as far as it knows; `seen`: the ledger's record as last
    received; `wanted`: set to False to release the duty and not request it again.
    """

    def __init__(self, duty: str, member: str, timing: Timing, now: int, store_expires: bool = False) -> None:
        """`member`: unique to this process. A lease held under an earlier process's name is not ours."""
        self.duty, self.member, self.timing = duty, member, timing
        self.phase = Phase.WAITING
        self.seen = Lease(duty)
        self.wanted = True
        self._store_expires = store_expires
        self._unchanged_since = now  # when the mark was last seen to change
        self._token = 0
        self._valid_until = 0  # when this member has to stop acting
        self._sent_at: dict[int, int] = {}  # by command number: when it was sent, if still unanswered
        self._next_command_at = now  # earliest time of the next command
        self._takeover: tuple[tuple[int, int], int] | None = None  # mark named in our Acquire, first sent at

    def fencing_token(self, now: int) -> int | None:
        """The token to act under now; None: do not act. To be called before every action of the duty."""
        return self._token if self.phase is Phase.HOLDING and now < self._valid_until else None

    def command_sent(self, number: int, now: int) -> None:
        """Record the number of a command that was submitted at `now`."""
        self._sent_at = {n: at for n, at in self._sent_at.items() if now - at < self.timing.ttl_us}
        self._sent_at[number] = now

    def lease_seen(self, lease: Lease, now: int) -> list[Action]:
        """Process a record of the ledger that was received at `now`."""
        previous_mark = self.seen.mark
        if (lease.mark, lease.holder) != (self.seen.mark, self.seen.holder):
            self._unchanged_since = now
        self.seen = lease
        # A record repeated from a snapshot has its old token: only a higher one can result from our Acquire.
        newly_ours = lease.holder == self.member and lease.seq == 0 and lease.token > previous_mark[0]
        if self.phase is not Phase.HOLDING and newly_ours:
            return self._adopt(lease.token, previous_mark, now)
        if self.phase is Phase.HOLDING and (lease.token > self._token or lease.holder != self.member):
            return self._end("lost", now)
        return self.tick(now)

    def _adopt(self, token: int, previous_mark: tuple[int, int], now: int) -> list[Action]:
        """Begin to hold a duty that the ledger assigns to us before, or without, the answer to our Acquire.

        Only an Acquire that named the previous mark can have caused this. Which of several took effect is
        unknown, so the lease is measured from when the first of them was sent.
        """
        valid_until = (
            self._takeover[1] + self.timing.ttl_us - self.timing.max_drift_us if self._takeover else 0
        )
        if self._takeover is None or self._takeover[0] != previous_mark or now >= valid_until:
            return self.tick(now)
        self.phase, self._token, self._valid_until = Phase.HOLDING, token, valid_until
        self._next_command_at = now
        return [Begin(self.duty, token), *self.tick(now)]

    def answered(self, answer: Answered, now: int) -> list[Action]:
        sent_at = self._sent_at.pop(answer.number, None)
        if sent_at is None:
            return []  # a Release, or a command of a lease that has ended: the ledger shows its effect
        holding = self.phase is Phase.HOLDING
        if not answer.accepted or answer.lease is None or answer.lease.holder != self.member:
            if holding and answer.why == "token":
                return self._end("lost", now)
            self.phase = self.phase if holding else Phase.WAITING
            self._next_command_at = now + self.timing.answer_timeout_us // 2
            return self.tick(now)
        valid_until = sent_at + self.timing.ttl_us - self.timing.max_drift_us
        self._next_command_at = sent_at + self.timing.renew_us
        if holding:
            self._valid_until = max(self._valid_until, valid_until)
            return self.tick(now)
        self.phase = Phase.WAITING
        if now >= valid_until or self.seen.token > answer.lease.token:
            return []  # the answer came after the lease ended or after a later holder: never begin
        self.phase, self._token, self._valid_until = Phase.HOLDING, answer.lease.token, valid_until
        return [Begin(self.duty, self._token), *self.tick(now)]

    def tick(self, now: int) -> list[Action]:
        """Return the actions due at `now`."""
        if self.phase is Phase.HOLDING:
            if now >= self._valid_until:
                return self._end("lapsed", now)
            if not self.wanted:
                return [Submit(Release(self.duty, self.member, self._token)), *self._end("released", now)]
            if now >= self._next_command_at:
                self._next_command_at = now + self.timing.answer_timeout_us
                return [Submit(Renew(self.duty, self.member, self._token))]
            return []
        if self.wanted and now >= self._acquire_at():
            self.phase, self._next_command_at = Phase.ASKING, now + self.timing.answer_timeout_us
            if self._takeover is None or self._takeover[0] != self.seen.mark:
                self._takeover = self.seen.mark, now
            return [Submit(Acquire(self.duty, self.member, self.seen.mark))]
        return []

    def next_at(self) -> int | None:
        """When `tick` has to be called next at the latest; None: not before the next event."""
        if self.phase is Phase.HOLDING:
            return min(self._valid_until, self._next_command_at)
        return self._acquire_at() if self.wanted else None

    def _acquire_at(self) -> int:
        """When to request the duty: a free one at once, a held one after its mark is unchanged for a ttl."""
        wait_for_expiry = self.seen.holder != NOBODY and not self._store_expires
        expires_at = self._unchanged_since + (self.timing.ttl_us if wait_for_expiry else 0)
        return max(self._next_command_at, expires_at + self.timing.stagger_us)

    def _end(self, why: str, now: int) -> list[Action]:
        self.phase, self._unchanged_since, self._next_command_at = (
            Phase.WAITING,
            now,
            now + self.timing.answer_timeout_us,
        )
        self._sent_at.clear()
        return [End(self.duty, self._token, why)]
