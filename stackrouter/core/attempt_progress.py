"""The phases of an attempt at a node, the time bound of each phase, and what follows when it has expired.

The engine asks `AttemptProgress.expired` when an attempt's timer fires; the transport records how far the
attempt has come. Nothing else decides how long an attempt may take. No I/O; the time is an argument.

docs/design/attempt-time.md gives the reason for each bound.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Final

from stackrouter.core.gate import MAX_COUNTED_DEADLINE_US, MAX_SCHEDULING_DELAY_US

USUAL_VALUE_BYTES: Final = 64 * 1024  # the longest value that the protocol specifies
# A longer value may come in parts: how long a node may pause between two of them.
MAX_LONG_VALUE_PAUSE_US: Final = MAX_COUNTED_DEADLINE_US
# A usual value comes in pieces without a pause; after a longer one another attempt is better.
MAX_USUAL_VALUE_PAUSE_US: Final = MAX_SCHEDULING_DELAY_US
# Once the client has the beginning of a usual value, no other attempt may follow.
MAX_PASSED_ON_PAUSE_US: Final = 500_000


class Phase(enum.Enum):
    """How far an attempt has come. The values are names of counters (`attempts.timeout_in.*`)."""

    WAITING = "waiting"  # for a connection
    CONNECTING = "connecting"
    WRITING = "writing"
    WRITTEN = "written"  # its last byte was written, and no sound beginning of an answer has come
    ANSWER_BEGUN = "answer_begun"  # the length of the value is known
    PASSING_ON = "passing_on"  # the client gets the value as it comes
    COMPLETE = "complete"  # the whole answer has come


class Expiry(enum.Enum):
    """What follows when the time of an attempt is over."""

    GIVE_UP = "give_up"
    PASS_ON = "pass_on"  # the answer is arriving: the client gets it as it comes
    WAIT = "wait"  # the answer is being passed on and makes progress


@dataclass(slots=True)
class AttemptProgress:
    """How far one attempt has come. Times are microseconds of the engine's clock.

    `value_bytes`: the length of the value as the node stated it; `received_bytes`: of the answer;
    `begun_us`: when the length was known; `last_byte_us`: when the answer's latest byte came;
    `paused_here`: this gateway does not read now, for lack of memory or because the client is slow;
    `paused_us`: for how long it has not read so far; `is_over_time`: the attempt's time is over, and its
    answer goes on arriving.
    """

    phase: Phase = Phase.WAITING
    value_bytes: int = 0
    received_bytes: int = 0
    begun_us: int = 0
    last_byte_us: int = 0
    paused_here: bool = False
    paused_us: int = 0
    is_over_time: bool = False

    def record_received(self, received_bytes: int, value_bytes: int | None, now_us: int) -> None:
        """Record that the answer has grown to `received_bytes`; `value_bytes`: the length of its value, if
        that is known."""
        self.received_bytes, self.last_byte_us = received_bytes, now_us
        if value_bytes is not None and self.phase is Phase.WRITTEN:
            self.phase, self.value_bytes, self.begun_us = Phase.ANSWER_BEGUN, value_bytes, now_us

    def resume(self, now_us: int) -> None:
        """This gateway reads again: the node's pause counts from now."""
        self.paused_us += max(0, now_us - self.last_byte_us)
        self.paused_here, self.last_byte_us = False, now_us

    def answered_at_us(self, now_us: int) -> int:
        """When the node counts as having answered: an answer that ends now, less the time for which this
        gateway did not read it; one that outlasts the attempt's time, when it began."""
        if self.is_over_time or self.phase is Phase.PASSING_ON:
            return self.begun_us
        return max(self.begun_us, now_us - self.paused_us)

    def max_pause_us(self) -> int:
        """How long the node may pause within the answer."""
        if self.value_bytes > USUAL_VALUE_BYTES:
            return MAX_LONG_VALUE_PAUSE_US
        return MAX_PASSED_ON_PAUSE_US if self.phase is Phase.PASSING_ON else MAX_USUAL_VALUE_PAUSE_US

    def stalled_at_us(self, now_us: int) -> int:
        """When the answer counts as stalled if nothing more comes."""
        return (now_us if self.paused_here else self.last_byte_us) + self.max_pause_us()

    def expired(self, now_us: int) -> Expiry:
        """What follows now that the attempt's time is over.

        Before the first byte of a sound answer the attempt is given up. From then on only a pause ends it:
        what is still arriving is not given up for its age.
        """
        if self.phase not in (Phase.ANSWER_BEGUN, Phase.PASSING_ON) or now_us >= self.stalled_at_us(now_us):
            return Expiry.GIVE_UP
        return Expiry.PASS_ON if self.phase is Phase.ANSWER_BEGUN else Expiry.WAIT

    def describe(self, now_us: int) -> str:
        """The phase and, once the answer has begun, its bytes and its latest byte's age, for log lines."""
        if not self.received_bytes:
            return self.phase.value
        pause_ms = (now_us - self.last_byte_us) // 1000
        return (
            f"{self.phase.value}, {self.received_bytes} bytes of a value of {self.value_bytes or '?'}, "
            f"the latest {pause_ms} ms before"
        )
