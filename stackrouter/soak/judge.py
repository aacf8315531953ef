"""The rules of the protocol, judged from the records of clients, nodes and discovery. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from stackrouter.soak.records import Arrival, Ending, Notice, Records, RequestRecord

GRACE_S: Final = 0.3  # the settings' 250 ms and the protocol's slack
GONE_SLACK_S: Final = 0.1
TOLD_SLACK_S: Final = 0.15
ANSWER_SLACK_S: Final = 0.5
NEAR_S: Final = 4.0  # what was done to a gateway so near a wrong request is told with it


@dataclass(slots=True)
class Verdict:
    """`violations` by rule; `why`: the first wrong request of each rule, its whole story."""

    requests: int = 0
    answered: int = 0
    unanswered: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    why: dict[str, str] = field(default_factory=dict)

    def broken(self, rule: str, why: str) -> None:
        self.violations[rule] += 1
        self.why.setdefault(rule, why)


def judge(records: Records, repeat_windows_s: dict[str, float | None]) -> Verdict:
    """`repeat_windows_s`: by class, for how long after the first an attempt may follow one that may have run;
    None: for ever."""
    verdict = Verdict()
    for request in records.requests.values():
        verdict.requests += 1
        if request.ending in (Ending.SERVED, Ending.REFUSED, Ending.FAILED):
            verdict.answered += 1
        if request.ending in (Ending.BROKEN, Ending.SILENT, Ending.OPEN):
            verdict.unanswered += 1
            verdict.broken("unanswered", _story(request, records))
        slack_s = records.lateness.around(request.sent_at)
        for rule, what in _wrong(request, records, repeat_windows_s, slack_s):
            verdict.broken(rule, f"{what}: {_story(request, records)}")
    if records.half_clients_unheard:
        verdict.violations["half_request"] += records.half_clients_unheard
    return verdict


def _wrong(
    request: RequestRecord, records: Records, windows_s: dict[str, float | None], slack_s: float
) -> Iterator[tuple[str, str]]:
    for number, arrival in enumerate(request.arrivals):
        slack_s = max(slack_s, records.lateness.around(arrival.first_at))
        notice = _notice(records.notices.get(request.gateway, ()), arrival, slack_s)
        if notice is not None:
            yield "drain", f"{arrival.node} had been told {arrival.first_at - notice.had_at:.3f} s before"
        if request.ending is Ending.LEFT and request.ended_at is not None:
            late_s = arrival.last_at - request.ended_at
            if late_s > GONE_SLACK_S + slack_s:
                yield "lost", f"begun {late_s:.3f} s after its client had left"
        left_s = request.sent_at + request.deadline_s - arrival.last_at
        if arrival.told_s > max(0.0, left_s) + TOLD_SLACK_S + slack_s:
            yield "deadline", f"told {arrival.told_s:.3f} s, {left_s:.3f} s were left"
        yield from _repeats(request, number, arrival, windows_s.get(request.request_class), slack_s)


def _notice(notices: list[Notice] | tuple[()], arrival: Arrival, slack_s: float) -> Notice | None:
    for notice in notices:
        if notice.node != arrival.node or notice.address != arrival.address:
            continue
        binds_at = notice.had_at + notice.late_by_s + GRACE_S + slack_s
        if binds_at < arrival.first_at < notice.until:
            return notice
    return None


def _repeats(
    request: RequestRecord, number: int, arrival: Arrival, window_s: float | None, slack_s: float
) -> Iterator[tuple[str, str]]:
    before = request.arrivals[:number]
    if arrival.beside:
        yield "second_copy", f"an attempt at {arrival.beside} was still out"
    ran = [a.last_at for a in before if a.ran]
    if window_s is not None and ran and arrival.last_at > min(ran) + window_s + 0.05 + slack_s:
        yield "duplicate", f"the first that may have run was {arrival.last_at - min(ran):.3f} s old"


def _story(request: RequestRecord, records: Records) -> str:
    """Request, attempts and end, with times from its sending on, and what was done to its gateway then."""

    def after(at: float | None) -> str:
        return "never" if at is None else f"+{at - request.sent_at:.3f}"

    tries = [
        f"{a.node} {after(a.first_at)} told {a.told_s:.3f} ended {after(a.ended_at)}{' ran' if a.ran else ''}"
        for a in request.arrivals
    ]
    return (
        f"{request.id} at g{request.gateway} {request.request_class} sent at "
        f"{request.sent_at + records.unix_offset_s:.3f} waits {request.deadline_s}: {request.ending.value} "
        f"{after(request.ended_at)} | "
        f"{'; '.join(tries) or 'no node'} | {'; '.join(_lives(request, records)) or 'nothing done to it'}"
    )


def _lives(request: RequestRecord, records: Records) -> Iterator[str]:
    for life in records.lives.get(request.gateway, ()):
        for what in ("started_at", "ready_at", "terminated_at", "ended_at", "killed_at"):
            at = getattr(life, what)
            if at is not None and abs(at - request.sent_at) < NEAR_S:
                yield f"{what} {at - request.sent_at:+.3f}"
