"""Checks the protocol's rules against the records of clients, nodes and discovery agents. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from stackrouter.soak.records import Arrival, Ending, Notice, Records, RequestRecord

GRACE_S: Final = 0.3  # drain grace of 250 ms in the settings, plus the protocol's slack
LEFT_SLACK_S: Final = 0.1  # an attempt may arrive this long after its client disconnected
DEADLINE_SLACK_S: Final = 0.15  # the deadline passed to a node may exceed the time left by this
ANSWER_SLACK_S: Final = 0.5
SOCKET_SLACK_S: Final = 0.05  # of every time limit on real sockets
EXIT_SLACK_S: Final = 0.3  # a process that ends has closed its connections at most this long before or after
NEAR_S: Final = 4.0  # a violation is reported with the events at its gateway within this time


@dataclass(slots=True)
class Verdict:
    """Result of the checks. `violations`: counts by rule; `why`: a description of each rule's first one."""

    requests: int = 0
    answered: int = 0
    unanswered: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    why: dict[str, str] = field(default_factory=dict)

    def add_violation(self, rule: str, why: str) -> None:
        """Counts a violation and keeps the account of the first one."""
        self.violations[rule] += 1
        self.why.setdefault(rule, why)


def judge(records: Records, repeat_windows_s: dict[str, float | None]) -> Verdict:
    """Checks all requests. `repeat_windows_s`: by class, how long after the first attempt that may have run
    another one may follow; None: without limit."""
    verdict = Verdict()
    for request in records.requests.values():
        verdict.requests += 1
        if _is_cut_off(request, records):
            verdict.add_violation("cut_off", _describe(request, records))
        if request.ending in (Ending.SERVED, Ending.REFUSED, Ending.FAILED, Ending.INCOMPLETE):
            verdict.answered += 1
        if request.ending in (Ending.BROKEN, Ending.SILENT, Ending.OPEN):
            verdict.unanswered += 1
            verdict.add_violation("unanswered", _describe(request, records))
        slack_s = records.lateness.around(request.sent_at)
        for rule, detail in _violations(request, records, repeat_windows_s, slack_s):
            verdict.add_violation(rule, f"{detail}: {_describe(request, records)}")
    if records.half_requests_unanswered:
        verdict.violations["half_request"] += records.half_requests_unanswered
    return verdict


def _violations(
    request: RequestRecord, records: Records, windows_s: dict[str, float | None], slack_s: float
) -> Iterator[tuple[str, str]]:
    for index, arrival in enumerate(request.arrivals):
        slack_s = max(slack_s, records.lateness.around(arrival.first_at))
        notice = _binding_notice(records.notices.get(request.gateway, ()), arrival, slack_s)
        if notice is not None:
            yield "drain", f"notified of {arrival.node} {arrival.first_at - notice.notified_at:.3f} s before"
        client_left = request.ending is Ending.LEFT or request.sent_again
        if (
            arrival.cut_off_at is not None
            and not client_left
            and not _process_ended(request, arrival.last_at, arrival.cut_off_at, records)
        ):
            late_s = arrival.cut_off_at - arrival.last_at
            yield "cut_off", f"{arrival.node} was writing a value, {late_s:.3f} s after it got the request"
        if request.ending is Ending.LEFT and request.ended_at is not None:
            late_s = arrival.last_at - request.ended_at
            if late_s > LEFT_SLACK_S + slack_s:
                yield "lost", f"attempt arrived {late_s:.3f} s after the client disconnected"
        left_s = request.sent_at + request.deadline_s - arrival.last_at
        if arrival.remaining_s > max(0.0, left_s) + DEADLINE_SLACK_S + slack_s:
            yield "deadline", f"the node was given {arrival.remaining_s:.3f} s when {left_s:.3f} s were left"
        yield from _repeats(request, index, arrival, windows_s.get(request.request_class), slack_s)


def _is_cut_off(request: RequestRecord, records: Records) -> bool:
    """Whether a value was begun and not completed, and neither its node nor a process's end is why."""
    if request.ending is not Ending.INCOMPLETE or request.ended_at is None:
        return False
    spoilt = any(arrival.spoilt_by_node for arrival in request.arrivals)
    return not spoilt and not _process_ended(request, request.sent_at, request.ended_at, records)


def _process_ended(request: RequestRecord, since: float, until: float, records: Records) -> bool:
    """Whether the gateway's process ended between these times."""
    slack_s = EXIT_SLACK_S + records.lateness.around(until)
    ends = [end for life in records.lives.get(request.gateway, ()) for end in (life.ended_at, life.killed_at)]
    return any(end is not None and since - slack_s < end < until + slack_s for end in ends)


def _binding_notice(notices: list[Notice] | tuple[()], arrival: Arrival, slack_s: float) -> Notice | None:
    for notice in notices:
        if notice.node != arrival.node or notice.address != arrival.address:
            continue
        binds_at = notice.notified_at + notice.late_by_s + GRACE_S + slack_s
        if binds_at < arrival.first_at < notice.until:
            return notice
    return None


def _repeats(
    request: RequestRecord, index: int, arrival: Arrival, window_s: float | None, slack_s: float
) -> Iterator[tuple[str, str]]:
    before = request.arrivals[:index]
    if arrival.concurrent_with:
        yield "second_copy", f"an attempt at {arrival.concurrent_with} was still in progress"
    ran_at = [a.last_at for a in before if a.ran]
    if window_s is None or not ran_at:
        return
    if not window_s or arrival.last_at > min(ran_at) + window_s + SOCKET_SLACK_S + slack_s:
        yield "duplicate", f"the first that may have run was {arrival.last_at - min(ran_at):.3f} s old"


def _describe(request: RequestRecord, records: Records) -> str:
    """Describes a request, its attempts and its gateway's events, with times in s since it was sent."""

    def after(at: float | None) -> str:
        return "never" if at is None else f"+{at - request.sent_at:.3f}"

    attempts = [
        f"{a.node} {after(a.first_at)} remaining {a.remaining_s:.3f} "
        f"ended {after(a.ended_at)}{' ran' if a.ran else ''}{' reset' if a.spoilt_by_node else ''}"
        for a in request.arrivals
    ]
    return (
        f"{request.id} at g{request.gateway} {request.request_class} sent at "
        f"{request.sent_at + records.unix_offset_s:.3f} waits {request.deadline_s}: {request.ending.value} "
        f"{after(request.ended_at)} | "
        f"{'; '.join(attempts) or 'no attempt'} | {'; '.join(_events_near(request, records)) or 'no events'}"
    )


def _events_near(request: RequestRecord, records: Records) -> Iterator[str]:
    for process in records.lives.get(request.gateway, ()):
        for event in ("started_at", "ready_at", "terminated_at", "ended_at", "killed_at"):
            at = getattr(process, event)
            if at is not None and abs(at - request.sent_at) < NEAR_S:
                yield f"{event} {at - request.sent_at:+.3f}"
