"""Schedules calls to discovery: when to call, what to ask for, and when a call has timed out.

No I/O; the caller owns the sockets.

A list call is a long poll ("watch"), and a watch that has fallen silent is broken and has to be reopened.
The platform's rules set one deadline: a change that a silent watch misses counts as known to the gateway
`KNOWN_AFTER_US` after the watch fell silent (for a call that may wait, 2 s after its wait ended, if that is
later), whether or not it arrived. Where lists are pushed, what the local agent has counts as known at once,
from the first moment of a new process. Therefore:

- The first call starts immediately, even when many gateways start together.
- A call has timed out when its first byte is not there in time. The rest of the answer has its own time
  limit, which a byte now and then does not extend.
- A change counts as known `KNOWN_AFTER_US` after discovery had it and could be reached, whatever calls failed
  or were refused in between. The clock therefore starts at the first unanswered call (`_unanswered_since`),
  and each following call and each pause takes at most half of what is left of `LATEST_CALL_START_US`:
  several attempts fit in, however the earlier ones ended. When it has run out a new clock starts, so the
  same pattern repeats during an outage.
- Where lists are pushed (`pushed`) the agent answers at once, so a call that it has not begun to answer is
  soon followed by another: a call made while the agent is silent is never answered, and what the agent has
  after an outage counts as known from its first moment. Until the agent has answered, no call waits for news.
- A timed-out call is not cancelled at once but kept open beside the calls after it, since discovery may be
  slow and the answer on its way. How long differs from call to call (`late_answer_us`), so that among the
  calls begun after an outage one soon outlasts whatever time discovery takes. Its answer counts as long as no
  other answer was accepted, and discovery's address did not change, since the call began.
- Versions order the answers of one history only. A replica of discovery that took over counts from a number
  of its own: what discovery itself answers is accepted whatever its number, and an answer that cannot be a
  change of the list that was asked about is followed by a call for the whole list. Only against a list that
  another gateway relayed during the call does a lower number mean that the answer is older.
- Answers that come faster than any watch, one after another, are followed by a pause within the 200 ms in
  which a watch has to be reopened: a discovery whose numbers never settle must not be called without a pause.
- After silence it is unknown what was missed, so the next call asks for the whole list; but when an agent is
  late with the end of a watch, a call for changes comes first. A refusal is not silence: discovery still
  knows the version, and a call for changes is the cheapest.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

KNOWN_AFTER_US = 6_000_000  # after silence began, missed changes count as known to the gateway
LATEST_CALL_START_US = 5_200_000  # the last call starts by then, which leaves the rest for its answer
IMMEDIATE_ANSWER_US = 20_000  # a call answered sooner than this did not wait for a change
MAX_IMMEDIATE_ANSWERS = 3  # in a row without a pause: the start, and changes that come together
IMMEDIATE_ANSWER_PAUSE_US = 80_000  # within the 200 ms in which a watch has to be reopened


@dataclass(frozen=True, slots=True)
class CallTiming:
    """Time limits of calls and pauses between them, in microseconds.

    `wait_us`: how long a watch may stay without news. Limits until an answer begins: `watch_answer_us` after
    that wait, `call_us` for a call without a wait, and `min_answer_us` as the clock runs out. `body_us`: from
    the first byte until the answer is complete (0: within the same limit).
    `retry_us`, `max_retry_us`: pauses after failed calls, doubling; `refused_retry_us`,
    `max_refused_retry_us`: the same after refused calls. Each pause is drawn between half and all of it.
    `late_answer_us`: how long an answer may take in total, from the end of the wait, while further calls are
    made: for the first call, then in turn for the unanswered calls after it. `pushed`: see the module.
    """

    wait_us: int
    watch_answer_us: int
    call_us: int
    min_answer_us: int
    body_us: int
    retry_us: int
    max_retry_us: int
    refused_retry_us: int
    max_refused_retry_us: int
    late_answer_us: tuple[int, ...]
    pushed: bool = False

    def __post_init__(self) -> None:
        # The longest time from silence to the next call: a watch or a call, then a pause.
        assert self.wait_us + self.watch_answer_us + self.body_us + self.retry_us <= LATEST_CALL_START_US
        assert self.call_us + self.body_us + self.max_retry_us <= LATEST_CALL_START_US
        assert self.max_refused_retry_us <= LATEST_CALL_START_US
        # A watch that falls silent at once, a failing call, and their pauses: the third call starts in time.
        failed_watch_us = self.wait_us + self.watch_answer_us + self.body_us + self.retry_us
        assert (
            failed_watch_us
            + max(self.min_answer_us, (LATEST_CALL_START_US - failed_watch_us) // 2)
            + self.retry_us
            <= LATEST_CALL_START_US
        )


@dataclass(frozen=True, slots=True, eq=False)
class Call:
    """One call to discovery.

    `index`: ask for changes since this version, waiting `wait_us` at most; None: the whole list, at once.
    `until_us`: timed out from then on, unless an answer has begun; `late_until_us`: cancelled then.
    `begun_us`: when it began. `generation`, `relayed_lists`: the scheduler's counts at that time, of accepted
    answers and address changes, and of lists relayed by other gateways.
    """

    index: int | None
    wait_us: int
    until_us: int
    late_until_us: int = 0
    begun_us: int = 0
    generation: int = 0
    relayed_lists: int = 0


class AnswerVerdict(enum.Enum):
    ACCEPT = "take"
    OLDER = "older"  # another gateway relayed a newer list during the call
    VOID = "void"  # another answer was accepted, or discovery's address changed, since the call began


class CallScheduler:
    """Decides about one current call at a time. `due_us`: when the next one starts; None during a call."""

    def __init__(self, timing: CallTiming, rng: random.Random, index: int | None = None) -> None:
        self.timing, self._random = timing, rng
        self.index = index  # the version this gateway has; None: the next call fetches the whole list
        self.due_us: int | None = 0
        self._current_call: Call | None = None
        self._retry_us, self._refused_retry_us = timing.retry_us, timing.refused_retry_us
        self._responsive = not timing.pushed  # discovery answers, so a call may wait for news
        self._unanswered_since: int | None = None  # start of the first unanswered call
        self._generation = 0  # accepted answers and address changes; answers to earlier calls are void
        self._relayed_lists = 0  # lists that other gateways relayed
        self._immediate_answers = 0  # immediate answers in a row
        self._silent_calls = 0  # unanswered calls in a row

    def begin(self, now: int) -> Call:
        """Start the next call and return it; it replaces the current one."""
        timing, self.due_us = self.timing, None
        if self._unanswered_since is None or now >= self._unanswered_since + LATEST_CALL_START_US:
            self._unanswered_since = now
        wait = timing.wait_us if self.index is not None and self._responsive else 0
        call_us = min(timing.call_us, max(timing.min_answer_us, self._remaining_us(now) // 2))
        until = now + wait + (timing.watch_answer_us if wait else call_us)
        late_until = max(
            until, now + wait + timing.late_answer_us[self._silent_calls % len(timing.late_answer_us)]
        )
        self._current_call = Call(
            self.index, wait, until, late_until, now, self._generation, self._relayed_lists
        )
        return self._current_call

    def answer_began(self, call: Call, now: int) -> int:
        """The first byte of the answer has come; return when the answer has to be complete."""
        return now + self.timing.body_us if self.timing.body_us else call.until_us

    def answered(
        self, call: Call, now: int, version: int, whole: bool = False, news: bool = False
    ) -> AnswerVerdict:
        """A complete, readable answer has come, possibly after the call had timed out.

        `whole`: it is the whole list, else changes; `news`: it has entries. The next call starts at once,
        which continues the watch.
        """
        if call.generation != self._generation:
            return AnswerVerdict.VOID
        self._generation += 1
        self._current_call, self._unanswered_since, self.due_us = None, None, now + self._pause_us(call, now)
        self._retry_us, self._refused_retry_us = self.timing.retry_us, self.timing.refused_retry_us
        self._responsive, self._silent_calls = True, 0
        if call.relayed_lists != self._relayed_lists and self.index is not None and version < self.index:
            return AnswerVerdict.OLDER
        no_change = call.index is not None and (version < call.index or (version == call.index and news))
        self.index = None if no_change and not whole else version
        return AnswerVerdict.ACCEPT

    def _pause_us(self, call: Call, now: int) -> int:
        self._immediate_answers = (
            self._immediate_answers + 1 if now - call.begun_us < IMMEDIATE_ANSWER_US else 0
        )
        if self._immediate_answers <= MAX_IMMEDIATE_ANSWERS:
            return 0
        return round(IMMEDIATE_ANSWER_PAUSE_US * (0.5 + self._random.random() / 2))

    def refused(self, call: Call, now: int) -> None:
        """Discovery refused the call: retry it later, at a random time so that refused gateways spread out.

        The pause doubles but stays within the clock: a change counts as known even to a refused gateway.
        """
        if call is self._current_call:
            wait, self._refused_retry_us = (
                self._refused_retry_us,
                min(2 * self._refused_retry_us, self.timing.max_refused_retry_us),
            )
            self._schedule_call(now, wait)

    def failed(self, call: Call, now: int, silent: bool = False) -> bool:
        """The call timed out, broke off or gave an unreadable answer. False: it is not the current call.

        A timed-out call may still be answered, see `Call.late_until_us`. Where lists are pushed, a watch that
        is `silent` after its wait may only be late: the next call asks for changes, without waiting.
        """
        if call is not self._current_call:
            return False
        wait, self._retry_us = self._retry_us, min(2 * self._retry_us, self.timing.max_retry_us)
        self._silent_calls += 1
        late_watch = silent and self.timing.pushed and call.wait_us > 0
        self.index, self._responsive = self.index if late_watch else None, not self.timing.pushed
        self._schedule_call(now, wait)
        return True

    def _remaining_us(self, now: int) -> int:
        return (
            LATEST_CALL_START_US
            if self._unanswered_since is None
            else max(0, self._unanswered_since + LATEST_CALL_START_US - now)
        )

    def _schedule_call(self, now: int, wait: int) -> None:
        wait = min(wait, max(self.timing.retry_us, (self._remaining_us(now) or LATEST_CALL_START_US) // 2))
        self._current_call, self.due_us = None, now + round(wait * (0.5 + self._random.random() / 2))

    def address_changed(self, now: int) -> None:
        """Discovery has a new address: the current call or pause is void; fetch the whole list at once."""
        self.index, self._current_call, self.due_us, self._responsive = (
            None,
            None,
            now,
            not self.timing.pushed,
        )
        self._unanswered_since = None
        self._generation += 1
        self._retry_us, self._refused_retry_us = self.timing.retry_us, self.timing.refused_retry_us

    def refetch(self) -> None:
        """Make the next call fetch the whole list."""
        self.index = None

    def accept_relayed(self, version: int) -> bool:
        """Whether a list relayed by another gateway may be applied.

        Not before this gateway has a current list of its own: the answer to its own call is on its way then.
        """
        if self.index is None:
            return False
        self.index = version
        self._relayed_lists += 1
        return True

    def latest_next_call_us(self) -> int:
        """The latest time at which the next call starts if nothing more arrives from now on."""
        if self._current_call is not None:
            return self._current_call.until_us + self.timing.body_us + self._retry_us
        assert self.due_us is not None
        return self.due_us
