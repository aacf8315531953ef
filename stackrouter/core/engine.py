"""The engine that runs the decision module: one greenlet feeds it events and executes its actions.

Other greenlets reach the engine only through its queue (`submit`, `withdraw`, `attempt_ended`,
`update_nodes`, `retune`).
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import gevent
from gevent.queue import SimpleQueue

from rackseam.buckets import LimitBuckets
from rackseam.control import Controller
from rackseam.interface import (
    Action,
    Answer,
    Arrival,
    Cancel,
    Disconnect,
    Effect,
    Event,
    Fail,
    FetchList,
    ListKind,
    ListUpdate,
    Log,
    NodeEntry,
    NodeState,
    Outcome,
    ProcessesChanged,
    Refuse,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Timer,
    Withdrawn,
)
from stackrouter.core import facts
from stackrouter.core.answer_stream import AnswerStream
from stackrouter.core.attempt_progress import Expiry, Phase
from stackrouter.core.counters import Counters
from stackrouter.core.gate import Denial, Gate
from stackrouter.core.memory import MemoryAccount
from stackrouter.core.model import Attempt, Node, Reply, Request, Result, SharedLimits, Transport, Verdict
from stackrouter.core.recent_ids import KEEP_US, IdClaims, RecentIds
from stackrouter.core.violations import ViolationLog
from stackrouter.core.wheel import Timer as WheelTimer
from stackrouter.core.wheel import Wheel
from stackrouter.errors import ActionError, log_error, log_unexpected

log = logging.getLogger(__name__)

# Queued to wake the loop when a timer may be due.
WAKE_UP: tuple[Callable[..., None], tuple[Any, ...]] = (lambda: None, ())
SMALL_BODY_BYTES = 4096  # requests with smaller bodies need no lease: their number is bounded by `max_open`
COPIES_OF_BODY = 2  # the body as received, and the command for a node while it is being written
# How long before the client's time is over an answer that is arriving is passed on at the latest: before the
# decision module gives up the request.
PASS_ON_MARGIN_US = 50_000
MAX_ROUNDS = 100  # rounds of one step, as actions may cause new events; more rounds than this are a loop


def clock_us() -> int:
    """The monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def cancel_timer(timer: WheelTimer | None) -> None:
    """Cancels a timer, so that it doesn't keep a finished request and its body in memory until it is due."""
    if timer is not None:
        timer.cancel()


class Engine:
    """Holds the open requests and the known nodes, and executes the actions of the decision module."""

    def __init__(self, settings: Settings, max_open: int, counters: Counters,
                 clock: Callable[[], int] = clock_us,
                 shared: SharedLimits | None = None,
                 request_memory: MemoryAccount | None = None,
                 ids: IdClaims | None = None) -> None:  # fmt: skip
        """`shared`: limits that other processes of this gateway may draw on too; None if there are none.
        `request_memory`: memory for the bodies of open requests; None: without limit.
        `ids`: claims on the ids of requests, if other processes of this gateway claim them too."""
        self.settings, self.max_open, self.counters, self.clock = settings, max_open, counters, clock
        self.gate = Gate()
        self.violations = ViolationLog(counters, settings.drain_grace_us, settings.plans, settings.max_units)
        self.tap: facts.Tap | None = None  # None: there are no subscribers, so no facts are created
        self.transport: Transport | None = None
        self.fetch_list: Callable[[], None] = lambda: None
        # Called for each new request; true refuses it. None: requests are never held back.
        self.intake_blocked: Callable[[], bool] | None = None
        # Called with the number of serving processes of this gateway whenever that number changes.
        self.on_process_count_changed: Callable[[int], None] = lambda process_count: None
        self._shared_limits = shared
        if shared is not None:
            self.gate.charge_valid = shared.may_spend
            shared.set_claim_callback(self.violations.limits.claimed)
        self.controller = Controller(settings, shared or LimitBuckets(settings.max_units, track_writes=True))
        self._request_memory = request_memory
        self._ids: IdClaims = ids or RecentIds()
        self.requests: dict[str, Request] = {}
        self._queued_requests = 0  # submitted, but not in `requests` yet
        self._passed_on = 0  # in `requests`, with answers that are being passed on: as long as clients read
        self.nodes: dict[str, Node] = {}
        self._queue: SimpleQueue[tuple[Callable[..., None], tuple[Any, ...]]] = SimpleQueue()
        self._events: list[Event] = []
        # Their backstop timer has fired; they are failed unless the module answers them in the current step.
        self._overdue_requests: list[Request] = []
        self._now = clock()
        self._wheel = Wheel(settings.step_us or 1000, self._now)
        self._last_id = 0

    # --- the queue: called from socket code

    def submit(self, request: Request) -> None:
        """Queues a request read from a client, or refuses it at once if too much is open.

        Readers submit many requests before the loop runs, so those in the queue count as open here.
        """
        if self._queued_requests + len(self.requests) - self._passed_on >= self.max_open:
            self.refuse(request, "requests.over_max_open", self._retry_after_us())
        elif not self._lease_memory(request):
            self.refuse(request, "requests.over_memory", self._retry_after_us())
        elif not self._claim_id(request):
            self._answer_at_once(request, "requests.id_again", Result(Verdict.FAILED))
        else:
            self._queued_requests += 1
            self._queue.put((self._submit, (request,)))

    def refuse(self, request: Request, reason: str, pause_us: int) -> None:
        """Refuses a request read from a client at once. `reason`: the counter of such refusals; `pause_us`:
        when the client may come again."""
        self._answer_at_once(request, reason, Result(Verdict.REFUSED, pause_us=pause_us))

    def _answer_at_once(self, request: Request, reason: str, result: Result) -> None:
        now = self.clock()
        self._record_taken(request, now)
        self.counters.add(reason)
        self._answer(request, result, now)

    def _claim_id(self, request: Request) -> bool:
        """Claims the request's id if its class may not simply be repeated. Returns whether it may run."""
        request_class = self.settings.classes[request.request_class]
        if not request.trace_id or request_class.effect is Effect.SAFE:
            return True
        window_us = request_class.key_ttl_us if request_class.effect is Effect.KEYED else 0
        until_us = request.deadline_us + window_us + KEEP_US
        request.id_claimed = self._ids.claim(request.trace_id, until_us, self.clock())
        return request.id_claimed

    def _retry_after_us(self) -> int:
        return min(min(c.aim_us for c in self.settings.classes), self.settings.retry_after_most_us)

    def _lease_memory(self, request: Request) -> bool:
        if self._request_memory is None or request.body_bytes <= SMALL_BODY_BYTES:
            return True
        request.memory = self._request_memory.try_lease(COPIES_OF_BODY * request.body_bytes)
        return request.memory is not None

    def retune(self, settings: Settings) -> None:
        """Queues new settings, in which each existing class keeps its index (see ops.retune.merge)."""
        self._queue.put((self._retune, (settings,)))

    def _retune(self, settings: Settings) -> None:
        self.settings = self.controller.settings = settings
        self.violations.plans = settings.plans
        if self._shared_limits is not None:
            self._shared_limits.settings = settings

    def wake(self) -> None:
        """Wakes the loop, so that it sees what changed while no requests arrive."""
        self._queue.put(WAKE_UP)

    def withdraw(self, request: Request) -> None:
        """Queues the withdrawal of a request whose client has disconnected."""
        self._queue.put((self._withdraw, (request,)))

    def attempt_ended(self, attempt: Attempt, reply: Reply) -> None:
        """Queues the outcome of an attempt; called by the transport."""
        self._queue.put((self._attempt_ended, (attempt, reply)))

    def pass_on(self, attempt: Attempt) -> AnswerStream | None:
        """Called by the transport for an answer that is too long to be stored: begins to pass it on to the
        client at once. None: its front cannot do that, or the client has left or has been answered."""
        stream = self._begin_passing_on(attempt, self.clock())
        if stream is not None:
            self._queue.put((self._answer_begun, (attempt,)))
        return stream

    def update_nodes(self, kind: ListKind, version: int, entries: Sequence[NodeEntry],
                     addresses: dict[str, tuple[str, int]]) -> None:  # fmt: skip
        """Queues a list of nodes from discovery; `addresses` has one address for each entry's node."""
        self._queue.put((self._update_nodes, (kind, version, entries, addresses)))

    def stop(self) -> None:
        """Called at SIGTERM: all requests are answered before the platform may kill the process."""
        self.gate.stop(self.clock(), max(c.deadline_us for c in self.settings.classes))
        for request in self.requests.values():
            answer_by_us = self.gate.answer_by_us(request.deadline_us)
            if answer_by_us < request.deadline_us and not request.answered:
                request.deadline_us = answer_by_us
                self._add_backstop(request)
        self.wake()

    def written(self, attempt: Attempt) -> None:
        """Called by the transport once the attempt's last byte has been written."""
        if not attempt.request.units_spent:
            attempt.request.units_spent = True
            self.controller.written(attempt.request.id, self.clock())
        if self.tap is not None and attempt.live:
            self.tap(facts.Written(self.clock(), int(attempt.request.id), attempt.number, attempt.node.name))

    def subscribe(self, subscriber: facts.Subscriber) -> None:
        """Passes every later fact to the subscriber, in the order in which the engine observed them."""
        if self.tap is None:
            self.tap, self.controller.token_waits = facts.Tap(), []
        self.tap.subscribers.append(subscriber)

    def idle(self) -> bool:
        """Whether no request is open and the queue is empty."""
        return not self.requests and self._queue.empty()

    # --- the loop

    def run(self) -> None:
        """The loop of the engine's greenlet; never returns."""
        loop = gevent.get_hub().loop
        alarm, due = loop.timer(0), 0
        while True:
            now = self.clock()
            wait = self._wheel.wait_us(now)
            # One event loop timer, restarted only after it has fired or for an earlier deadline: creating a
            # gevent Timeout in each iteration took a tenth of the CPU.
            if wait is not None and (due <= now or now + wait < due):
                alarm.stop()
                alarm.close()
                alarm, due = loop.timer(wait / 1e6), now + wait
                alarm.start(self._queue.put, WAKE_UP)
            self._handle_queued([self._queue.get()])

    def process_events(self) -> None:
        """Handles everything queued and every timer that is due."""
        self._handle_queued([])

    def _handle_queued(self, batch: list[tuple[Callable[..., None], tuple[Any, ...]]]) -> None:
        while not self._queue.empty():
            batch.append(self._queue.get())
        self.step(batch)

    def wait_us(self) -> int | None:
        """Microseconds until the next timer may be due; None if there is no timer."""
        return self._wheel.wait_us(self.clock())

    def step(self, batch: Sequence[tuple[Callable[..., None], tuple[Any, ...]]]) -> None:
        """Handles queued calls before due timers: an attempt whose answer has arrived has not timed out."""
        self._now = self.clock()
        if self._shared_limits is not None:
            self._shared_limits.scan_processes(self._now)
        calls = [partial(call, *values) for call, values in batch]
        for call in calls + self._wheel.advance(self._now):
            try:
                call()
            except Exception:
                self.counters.add("errors.engine")
                log_unexpected(log, "engine")
        for _ in range(MAX_ROUNDS):
            if self._shared_limits is not None:
                self._collect_shared_events(self._shared_limits)
            if not self._events:
                if self._overdue_requests:
                    self._fail_overdue()
                elif self._shared_limits is None or not self._shared_limits.exchange_claims(self._now):
                    return
            events, self._events = self._events, []
            try:
                actions = self.controller.handle(self._now, events)
            except Exception:
                # The decisions for this batch are lost; its requests end when their backstop timer fires.
                self.counters.add("errors.module")
                log_unexpected(log, "decision module")
                continue
            if self.tap is not None:
                self._publish_held(self.tap)
            for action in actions:
                try:
                    self._execute(action)
                except Exception:
                    self.counters.add("errors.action")
                    log_unexpected(log, f"executing action {type(action).__name__}")

    def _collect_shared_events(self, shared: SharedLimits) -> None:
        for event in shared.events():
            if isinstance(event, ProcessesChanged):
                self.on_process_count_changed(event.process_count)
            self._events.append(event)

    def _publish_held(self, tap: facts.Tap) -> None:
        for request_id, wait in self.controller.token_waits or ():
            tap(facts.Held(self._now, int(request_id), -1 if wait == math.inf else math.ceil(wait)))
        if self.controller.token_waits:
            self.controller.token_waits.clear()

    # --- handlers of queued calls

    def _record_taken(self, request: Request, now_us: int) -> None:
        """Gives the request its id and the deadline that a planned stop leaves it, and counts it as taken."""
        self.counters.add("requests.taken")
        request.deadline_us = self.gate.answer_by_us(request.deadline_us)
        self._last_id += 1
        request.id = str(self._last_id)
        if self.tap is not None:
            self.tap(facts.Taken(
                now_us, self._last_id, request.request_class, request.plan, request.volume, request.units,
                request.shard, request.gateways, request.deadline_us, request.repeat, request.write,
            ))  # fmt: skip

    def _submit(self, request: Request) -> None:
        self._queued_requests -= 1
        denial = self.gate.may_take(request.deadline_us, self._now)
        self._record_taken(request, self._now)
        left_us = request.deadline_us - self._now
        if denial is Denial.STOPPING:
            self.counters.add("requests.over_at_stop")
            self._answer(request, Result(Verdict.REFUSED, pause_us=0))
            return
        if self.intake_blocked is not None and self.intake_blocked():
            self.counters.add("requests.over_max_open")
            self._answer(request, Result(Verdict.REFUSED, pause_us=self._retry_after_us()))
            return
        arrival = Arrival(
            request.id, request.request_class, request.plan, request.volume, request.units, request.shard,
            request.gateways, request.key, max(0, left_us), request.repeat, request.write,
        )  # fmt: skip
        self.requests[request.id] = request
        request_class = self.settings.classes[request.request_class]
        if request_class.effect is not Effect.SAFE:
            request.repeat_window_us = request_class.key_ttl_us if request_class.effect is Effect.KEYED else 0
        self._add_backstop(request)
        self._events.append(arrival)

    def _add_backstop(self, request: Request) -> None:
        """Whatever goes wrong in between, this timer gets the request answered within the answer slack."""
        cancel_timer(request.backstop)
        overdue_us = request.deadline_us + self.settings.answer_slack_us // 2
        request.backstop = self._wheel.add(overdue_us, lambda: self._on_overdue(request))

    def _on_overdue(self, request: Request) -> None:
        """If this process was delayed, the module's own timer for the request is due as well: let it answer
        first."""
        if not request.answered:
            self._overdue_requests.append(request)

    def _fail_overdue(self) -> None:
        overdue, self._overdue_requests = self._overdue_requests, []
        for request in overdue:
            if not request.answered:
                self.counters.add("requests.overdue")
                self._events.append(Withdrawn(request.id))
                self._answer(request, Result(Verdict.FAILED))

    def _withdraw(self, request: Request) -> None:
        if not request.answered:
            self.counters.add("requests.withdrawn")
            request.answered, request.client_gone_us = True, self._now
            if self.tap is not None:
                self.tap(facts.GivenUp(self._now, int(request.id)))
            self._events.append(Withdrawn(request.id))
            self._forget(request)
            return
        for attempt in list(request.in_flight.values()):
            if attempt.stream is not None:
                request.client_gone_us = self._now
                self._abort(attempt, Outcome.CANCELLED)

    def _update_nodes(self, kind: ListKind, version: int, entries: Sequence[NodeEntry],
                      addresses: dict[str, tuple[str, int]]) -> None:  # fmt: skip
        self.counters.add(f"lists.{kind.name.lower()}")
        if self.tap is not None:
            self.tap(facts.Listed(self._now, kind, version, tuple(entries)))
        gone: dict[str, Node] = {}
        if kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.node for entry in entries}
            gone = {name: node for name, node in self.nodes.items() if name not in listed}
            for node in gone.values():
                node.update_state(NodeState.GONE, self._now)
        for entry in entries:
            known = self.nodes.get(entry.node)
            address = addresses[entry.node]
            if known is None:
                known = self.nodes[entry.node] = Node(
                    entry.node, address, entry.shard, entry.state, self._now
                )
            else:
                known.address, known.shard = address, entry.shard
                known.update_state(entry.state, self._now)
            if known.state is NodeState.GONE:
                gone[entry.node] = known
        for node in gone.values():
            if node.state is not NodeState.GONE:
                continue  # the list names the node twice: the last entry counts
            del self.nodes[node.name]
            if self.transport:
                self.transport.close_idle(node.name)
        self._events.append(ListUpdate(kind, tuple(entries), version))

    def _attempt_ended(self, attempt: Attempt, reply: Reply) -> None:
        if not attempt.live:
            return  # given up before: the module already has its outcome
        request, served = attempt.request, reply.outcome is Outcome.DONE
        passed_on = attempt.stream is not None
        attempt.live = False
        cancel_timer(attempt.timeout)
        del request.in_flight[attempt.number]
        if attempt.may_have_run and reply.outcome is not Outcome.FULL:
            request.first_run_us = (
                attempt.sent_us
                if request.first_run_us is None
                else min(request.first_run_us, attempt.sent_us)
            )
        self.counters.add(f"attempts.{reply.outcome.value}")
        self._log_attempt(attempt, reply)
        if self.tap is not None:
            phase = attempt.progress.phase
            self.tap(facts.Ended(
                self._now, int(request.id), attempt.number, attempt.node.name, reply.outcome,
                -1 if reply.used_percent is None else reply.used_percent, reply.elsewhere_units, reply.report,
                "" if phase is Phase.COMPLETE else phase.value, attempt.progress.received_bytes,
            ))  # fmt: skip
        if passed_on:
            self._end_passing_on(attempt, reply)
            return
        closed = served or request.answered
        answered_us = attempt.progress.answered_at_us(self._now) if served else self._now
        if served:
            self._answer(request, Result(Verdict.SERVED, reply.value, lease=reply.lease))
        self._events.append(
            Answer(
                request.id, attempt.number, attempt.node.name, reply.outcome, closed,
                answered_us - attempt.sent_us, reply.elsewhere_units,
                0 if reply.used_percent is None else reply.used_percent + 1,
                reply.report,
            )
        )  # fmt: skip
        self._forget(request)

    def _log_attempt(self, attempt: Attempt, reply: Reply) -> None:
        """Records a failed attempt for the log line that is written if the request fails."""
        if reply.outcome is Outcome.DONE:
            return
        node, request = attempt.node, attempt.request
        after_ms = (self._now - attempt.sent_us) // 1000
        why = f", {reply.denial}" if reply.denial else ""
        request.attempt_log.append(
            f"{node.name} ({node.state.name.lower()}): {reply.outcome.value}{why} after {after_ms} ms, "
            f"{attempt.progress.describe(self._now)}"
        )

    # --- answers that are passed on while they arrive

    def _on_time_over(self, attempt: Attempt) -> None:
        """The attempt's timer has fired: gives the attempt up, or lets its answer go on arriving."""
        if not attempt.live:
            return
        expiry = attempt.progress.expired(self._now)
        if expiry is Expiry.PASS_ON and self._waits_to_be_whole(attempt):
            self.counters.add("attempts.kept_for_requests_behind")
            attempt.progress.is_over_time = True
            pass_on_by_us = attempt.request.deadline_us - PASS_ON_MARGIN_US
            self._set_timer(attempt, min(attempt.progress.stalled_at_us(self._now), pass_on_by_us))
        elif expiry is Expiry.PASS_ON and self._begin_passing_on(attempt, self._now) is not None:
            self._answer_begun(attempt)
        elif expiry is Expiry.WAIT:
            self._watch_for_stall(attempt)
        elif self._now < attempt.deadline_us:  # there was no answer to be passed on
            self._set_timer(attempt, attempt.deadline_us)
        else:
            self.counters.add(f"attempts.timeout_in.{attempt.progress.phase.value}")
            self._abort(attempt, Outcome.TIMEOUT)

    def _set_timer(self, attempt: Attempt, at_us: int) -> None:
        attempt.timeout = self._wheel.add(at_us, lambda: self._on_time_over(attempt))

    def _waits_to_be_whole(self, attempt: Attempt) -> bool:
        """Whether an answer that is arriving is not begun yet, since requests behind it would be lost with
        it; at last it is begun in time. Without memory to store it there is no use in waiting."""
        request = attempt.request
        if attempt.progress.paused_here or not request.has_requests_behind():
            return False
        return self._now < request.deadline_us - PASS_ON_MARGIN_US

    def _begin_passing_on(self, attempt: Attempt, now_us: int) -> AnswerStream | None:
        """Begins the request's final answer with what has come of the value. None: that is not possible."""
        request = attempt.request
        if not attempt.live or request.answered or request.begin_answer is None:
            return None
        request.answered = True
        cancel_timer(attempt.timeout)
        cancel_timer(request.backstop)
        self.counters.add("requests.passed_on")
        self._passed_on += 1
        self.violations.answered(request, now_us)
        attempt.progress.phase = Phase.PASSING_ON
        attempt.stream = AnswerStream(attempt.progress.value_bytes)
        request.begin_answer(attempt.stream)
        return attempt.stream

    def _answer_begun(self, attempt: Attempt) -> None:
        """For the module the attempt ends here: the node has done its work, and the client may be what the
        rest of the value waits for."""
        request = attempt.request
        rtt_us = attempt.progress.answered_at_us(self._now) - attempt.sent_us
        self._events.append(Answer(request.id, attempt.number, attempt.node.name, Outcome.DONE, True, rtt_us))
        if attempt.live:
            self._watch_for_stall(attempt)

    def _watch_for_stall(self, attempt: Attempt) -> None:
        self._set_timer(attempt, attempt.progress.stalled_at_us(self._now))

    def _end_passing_on(self, attempt: Attempt, reply: Reply) -> None:
        """The answer has come whole and sound, or its rest will never come."""
        request, stream = attempt.request, attempt.stream
        assert stream is not None
        self._passed_on -= 1
        served = reply.outcome is Outcome.DONE
        if request.client_gone_us is not None:
            self.counters.add("requests.withdrawn")
            if self.tap is not None:
                self.tap(facts.GivenUp(self._now, int(request.id)))
        else:
            self._record_verdict(request, Result(Verdict.SERVED if served else Verdict.FAILED), self._now)
        if served:
            stream.finish(reply.value)
        else:
            stream.break_off()
        self._forget(request)

    def _abort(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.live:
            if self.transport:
                self.transport.abort(attempt)
            # No step that may run was written whole: the node never got the request, so the timeout is not
            # evidence about the node.
            never_ran = outcome is Outcome.TIMEOUT and not attempt.may_have_run
            self._attempt_ended(attempt, Reply(Outcome.MOOT if never_ran else outcome))

    def _answer(self, open_request: Request, result: Result, now_us: int | None = None) -> None:
        """Gives the request its one final answer. `now_us`: the time, if not that of the current step."""
        if open_request.answered:
            return
        now = self._now if now_us is None else now_us
        open_request.answered = True
        self.violations.answered(open_request, now)
        self._record_verdict(open_request, result, now)
        open_request.answer(result)
        self._forget(open_request)

    def _record_verdict(self, request: Request, result: Result, now_us: int) -> None:
        """Counts the request's one verdict, and logs it unless the request was served or never sent."""
        self.counters.add(f"requests.{result.verdict.value}")
        if result.verdict is Verdict.FAILED or (result.verdict is Verdict.REFUSED and request.attempt_log):
            log.info(
                "request %s %s: %s",
                request.trace_id or request.id,
                result.verdict.value,
                "; ".join(request.attempt_log) or "no attempt has ended",
            )
        if self.tap is not None:
            self.tap(facts.Answered(now_us, int(request.id), result.verdict, result.pause_us))

    def _forget(self, request: Request) -> None:
        if request.answered and not request.in_flight:
            cancel_timer(request.backstop)
            self.requests.pop(request.id, None)
            if request.id_claimed and request.first_run_us is None:
                request.id_claimed = False
                self._ids.release(request.trace_id, self._now)

    # --- actions of the decision module

    def _execute(self, action: Action) -> None:
        match action:
            case Send(request_id, node, timeout_us, spends):
                self._send(request_id, node, timeout_us, spends)
            case SetTimer(tag, in_us):
                self._wheel.add(self._now + in_us, lambda: self._events.append(Timer(tag)))
            case Refuse(request_id, pause_us, lacks_limit):
                if request := self.requests.get(request_id):
                    if lacks_limit:
                        self.counters.add("requests.refused_for_limit")
                    self._answer(request, Result(Verdict.REFUSED, pause_us=pause_us))
            case Fail(request_id):
                if request := self.requests.get(request_id):
                    self._answer(request, Result(Verdict.FAILED))
            case Cancel(request_id, number):
                request = self.requests.get(request_id)
                attempt = request.in_flight.get(number) if request else None
                if attempt is not None and attempt.stream is None:
                    self._abort(attempt, Outcome.CANCELLED)
            case Disconnect(name):
                if self.transport:
                    self.transport.close_idle(name)
            case Subscribe():
                pass  # discovery is watched from the start; a missed change comes with its next answer
            case FetchList():
                self.fetch_list()
            case Log(text):
                log.info("module: %s", text)
            case _:
                self.counters.add("errors.action")
                log_error(
                    log,
                    ActionError(f"the settings do not allow {type(action).__name__}"),
                    level=logging.ERROR,
                )

    def _send(self, request_id: str, name: str, timeout_us: int, spends: bool) -> None:
        request, node = self.requests.get(request_id), self.nodes.get(name)
        if request is None:
            self._events.append(Answer(request_id, 0, name, Outcome.MOOT, True))
            return
        if spends and self._shared_limits is not None:
            request.reservation = self._shared_limits.reservation(self._now)
        denial = self.gate.may_start(request, node, self.settings.max_attempts, self._now)
        number, request.attempts = request.attempts, request.attempts + 1
        if denial is not None or node is None or self.transport is None:
            self.counters.add("attempts.moot")
            if denial is not None:
                self.counters.add(f"denied.{denial.value}")
                request.attempt_log.append(f"{name}: not started, {denial.value}")
            self._events.append(Answer(request.id, number, name, Outcome.MOOT, request.answered))
            return
        deadline_us = min(request.deadline_us, self._now + timeout_us) if timeout_us else request.deadline_us
        attempt = request.in_flight[number] = Attempt(request, number, node, self._now, deadline_us)
        self.counters.add("attempts.started")
        if self.tap is not None:
            self.tap(facts.Sent(self._now, int(request.id), number, name, timeout_us))
        pass_on_by_us = request.deadline_us - PASS_ON_MARGIN_US
        self._set_timer(
            attempt, deadline_us if pass_on_by_us <= self._now else min(deadline_us, pass_on_by_us)
        )
        self.transport.start(attempt)
