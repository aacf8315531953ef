"""Detects broken protocol rules after the fact, from what was sent when; counts and logs them.

The gate decides before a system call. These checks use the time after the call, so that they also find a
process that was delayed in between. They never change what the gateway does, and keep no state of requests.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

from rackseam.buckets import limit_part
from rackseam.interface import NodeState, Plan
from stackrouter.core.counters import Counters
from stackrouter.core.limit_check import LimitCheck
from stackrouter.errors import RuleBrokenError, log_error

if TYPE_CHECKING:
    from stackrouter.core.model import Attempt, Request

log = logging.getLogger(__name__)

SOCKET_SLACK_US: Final = 50_000  # extension of every time limit on real sockets
CLIENT_GONE_SLACK_US: Final = 100_000  # an attempt may begin this long after its client has disconnected
STATED_WAIT_SLACK_US: Final = 150_000  # the wait stated to a node may exceed the client's time by this
ANSWER_SLACK_US: Final = 500_000  # an answer later than this after the deadline counts as missing


class Rule(enum.Enum):
    """The rules that are checked, with the names used in the operator documentation."""

    DRAIN = "drain"  # sent to a node after the grace period that follows its draining or removal
    LOST = "lost"  # started for a client that has disconnected, or answered too late
    DEADLINE = "deadline"  # the wait stated to the node was longer than the client's remaining time
    LIMIT = "limit"  # a volume exceeded the gateway's part of its limit by more than the slack
    DUPLICATE = "duplicate"  # repeated although an earlier attempt may have run and its key be forgotten


class ViolationLog:
    """Checks completed actions against the rules; a violation is counted and logged."""

    def __init__(
        self, counters: Counters, drain_grace_us: int, plans: Sequence[Plan] = (), largest_units: float = 1.0
    ) -> None:
        """`plans`: those of the settings; `largest_units`: the largest units of a request."""
        self.counters, self.plans = counters, plans
        self.limits = LimitCheck(largest_units)
        self._drain_grace_us = drain_grace_us + SOCKET_SLACK_US

    def first_byte(self, attempt: Attempt, now_us: int) -> None:
        """Called after the attempt's first byte was written."""
        node = attempt.node
        if node.state is not NodeState.READY and now_us > node.unready_since_us + self._drain_grace_us:
            known_ms = (now_us - node.unready_since_us) / 1000
            self._report(
                Rule.DRAIN, attempt.request, f"{node.name} {node.state.name}, known for {known_ms:.0f} ms"
            )

    def written(self, attempt: Attempt, stated_wait_us: int, now_us: int) -> None:
        """Called after its last byte was written, when the node may start. `stated_wait_us`: the wait stated
        to the node."""
        request, name = attempt.request, attempt.node.name
        if request.client_gone_us is not None and now_us > request.client_gone_us + CLIENT_GONE_SLACK_US:
            late_ms = (now_us - request.client_gone_us) / 1000
            self._report(Rule.LOST, request, f"{name}: the client had disconnected {late_ms:.0f} ms before")
        left_us = request.deadline_us - now_us
        if stated_wait_us > max(0, left_us) + STATED_WAIT_SLACK_US:
            self._report(
                Rule.DEADLINE,
                request,
                f"{name}: stated wait {stated_wait_us // 1000} ms, remaining {left_us // 1000} ms",
            )
        if not request.units_spent:
            self._check_limit(request, name, now_us)
        if request.repeat_window_us is not None and request.first_run_us is not None:
            age_us = now_us - request.first_run_us
            if age_us > request.repeat_window_us + SOCKET_SLACK_US:
                self._report(
                    Rule.DUPLICATE, request, f"{name}: the first attempt was {age_us // 1000} ms old"
                )

    def _check_limit(self, request: Request, node: str, now_us: int) -> None:
        """Its first attempt to be written whole, which spends its units."""
        if request.plan >= len(self.plans):
            return
        part = limit_part(self.plans[request.plan], request.volume, request.plan, request.gateways)
        if part is None:
            return
        exceeded_by = self.limits.written(part, request.units, now_us)
        if exceeded_by > 0:
            self._report(
                Rule.LIMIT, request, f"{node}: volume {request.volume} exceeded by {exceeded_by:.1f} units"
            )

    def answered(self, request: Request, now_us: int) -> None:
        """Called when the request's final answer is about to be written."""
        if now_us > request.deadline_us + ANSWER_SLACK_US:
            late_ms = (now_us - request.deadline_us) / 1000
            self._report(Rule.LOST, request, f"answered {late_ms:.0f} ms after its deadline")

    def _report(self, rule: Rule, request: Request, detail: str) -> None:
        self.counters.add(f"violations.{rule.value}")
        log_error(log, RuleBrokenError(f"request {request.trace_id or request.id}: {detail}", key=rule.value))
