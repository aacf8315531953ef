"""The bench's wire, nothing else: JSON lines in, JSON lines out; every decision is in control.py."""

from __future__ import annotations

import base64
import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from rackseam.control import Controller
from rackseam.interface import (
    Action,
    Answer,
    Arrival,
    Began,
    Cancel,
    Disconnect,
    Effect,
    Event,
    Fail,
    FetchList,
    ListKind,
    ListUpdate,
    Log,
    Message,
    NodeEntry,
    NodeState,
    Outcome,
    PeerMessage,
    Plan,
    Probe,
    ProbeResult,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Timer,
    Withdrawn,
)

OUTCOMES = {
    "done": Outcome.DONE,
    "err": Outcome.ERROR,
    "busy": Outcome.FULL,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.MOOT,
}
LIST_KINDS = {kind.value: kind for kind in ListKind}
NODE_STATES = {state.value: state for state in NodeState}
REPEAT_BIT, WRITE_BIT = 2, 4


class WireError(Exception):
    """The input is not the wire."""


def settings_of(conf: dict[str, Any], seed: int) -> Settings:
    """The start settings in the library's words; absent and null values take the library's defaults."""

    def part(key: str) -> dict[str, Any]:
        return conf.get(key) or {}

    family, caps, rules = part("FamilyInfo"), part("Caps"), part("Obligations")
    writes = family.get("ClassWrites") or []
    classes = tuple(
        RequestClass(
            aim_us=p.get("AimUs") or p["HardLimitUs"],
            deadline_us=p["HardLimitUs"],
            effect=Effect(p.get("Effect") or "safe"),
            group=p.get("Group") or "all",
            key_ttl_us=p.get("KeyTtlUs") or 0,
            ordered=bool(p.get("FifoByKey")),
            streaming=bool(p.get("Streaming")),
            worth=_number(p, "Gain", 1.0),
            late_worth=_number(p, "LateShare", 0.0),
            writes=bool(writes[i]) if i < len(writes) else False,
        )
        for i, p in enumerate(conf.get("Profiles") or [])
    )
    plans = tuple(
        Plan(
            weight=_number(g, "Shares", 1.0),
            reserve_units_per_s=_number(g, "FloorRate", 0.0),
            limit_units_per_s=_number(g, "CeilingRate", 0.0),
            burst_units=_number(g, "CapDepth", 0.0),
            tolerance_units=_number(g, "Tolerance", 0.0),
            usual_units_per_s=_number(g, "UsualRate", 0.0),
            price=_number(g, "Price", 1.0),
        )
        for g in conf.get("Grades") or []
    )
    return Settings(
        classes=classes,
        plans=plans,
        gateways=conf.get("Balancers") or 1,
        position=conf.get("Position") or 0,
        seed=seed,
        zone=conf.get("Locality") or 0,
        step_us=conf.get("StepUs") or 0,
        max_units=_number(family, "MaxUnits", 1.0),
        mean_units=_number(family, "MeanUnits", 1.0),
        meter_us=family.get("MeterUs") or 0,
        says_elsewhere=bool(family.get("SaysOthers")),
        max_attempts=caps.get("MaxAttempts") or 1,
        may_duplicate=bool(caps.get("MayDuplicate")),
        may_cancel=bool(caps.get("Cancel")),
        may_probe=bool(caps.get("Probes")),
        may_message=bool(caps.get("PeerMessages")),
        list_on_request=conf.get("RegistryMode") == "ask",
        answer_slack_us=rules.get("AnswerSlackUs") or 0,
        ask_every_us=rules.get("AskEveryUs") or 0,
        drain_grace_us=rules.get("DrainGraceUs") or 0,
        cold_share=_number(rules, "ColdShare", 1.0),
        cold_us=rules.get("ColdUs") or 0,
        cold_bears_units=_number(family, "ColdBears", 0.0),
        fall_us=rules.get("FallUs") or 0,
        tip_multiple=_number(rules, "TipMultiple", 1.0),
        key_rest_us=rules.get("KeyRestUs") or 0,
        resend_free=rules.get("BudgetFree"),
        resend_ratio=rules.get("ResendRatio"),
        resend_span_us=rules.get("ResendSpanUs") or 0,
        retry_after_most_us=(caps.get("MaxRetryAfterUs") or 0) if caps.get("RetryAfter") else 0,
    )


def _number(table: dict[str, Any], key: str, default: float) -> float:
    value = table.get(key)
    return default if value is None else float(value)


def _report(raw: Any) -> dict[str, float]:
    pairs = raw.items() if isinstance(raw, dict) else raw or ()
    return {
        str(name): float(value)
        for name, value in pairs
        if isinstance(value, int | float) and not isinstance(value, bool)
    }


def _members(m: list[Any]) -> Event:
    entries = tuple(
        NodeEntry(
            node=e[0],
            zone=e[1] or 0,
            kind=e[2] or 0,
            shard=e[3],
            state=NODE_STATES[e[4]],
            rating=1.0 if e[5] is None else float(e[5]),
            launched_us=(e[6] if len(e) > 6 else 0) or 0,
        )
        for e in m[4] or ()
    )
    return ListUpdate(LIST_KINDS[m[2]], entries, m[3] or 0)


def _ask(m: list[Any]) -> Event:
    options = (m[11] if len(m) > 11 else 0) or 0
    return Arrival(
        request=_text(m[2]),
        request_class=_whole(m[3]),
        plan=_whole(m[4] or 0),
        key=m[5] or "",
        grace_us=_whole(m[6]),
        volume=m[7] or "",
        units=float(m[8]),
        shard=_whole(-1 if m[9] is None else m[9]),
        gateways=_whole(m[10] or 1),
        repeat=bool(options & REPEAT_BIT),
        write=bool(options & WRITE_BIT),
    )


def _response(m: list[Any]) -> Event:
    return Answer(
        request=_text(m[2]),
        closed=bool(m[3]),
        elsewhere_units=float(m[4] or 0),
        attempt=_whole(m[5]),
        use_percent_plus_one=_whole(m[6] or 0),
        outcome=OUTCOMES.get(m[7], Outcome.UNKNOWN),
        node=_text(m[8]),
        rtt_us=_whole(m[9] or 0),
        report=_report(m[10] if len(m) > 10 else None),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"not a text: {value!r}")
    return value


def _whole(value: Any) -> int:
    if not isinstance(value, int | float) or isinstance(value, bool) or value != int(value):
        raise TypeError(f"not a whole number: {value!r}")
    return int(value)


READERS: dict[str, Callable[[list[Any]], Event]] = {
    "Registry": _members,
    "Ask": _ask,
    "Response": _response,
    "Started": lambda m: Began(_text(m[2]), _whole(m[4]), _text(m[5]), _whole(m[3] or 0)),
    "Abandoned": lambda m: Withdrawn(_text(m[2])),
    "Bell": lambda m: Timer(_text(m[2])),
    "Sampled": lambda m: ProbeResult(
        _text(m[2]),
        OUTCOMES.get(m[3], Outcome.UNKNOWN),
        _whole(m[4] or 0),
        _report(m[5] if len(m) > 5 else None),
    ),
    "Memo": lambda m: PeerMessage(_whole(m[2]), base64.b64decode(m[3] or "")),
}


def wire_of(who: int, action: Action) -> list[Any]:
    """One action as a wire message."""
    match action:
        case Send(request, node, timeout_us):
            return ["PassOn", who, request, node, timeout_us]
        case SetTimer(tag, in_us):
            return ["NotifyMe", who, tag, in_us]
        case Refuse(request, pause_us):
            return ["NotNow", who, request, pause_us]
        case Fail(request):
            return ["Lose", who, request]
        case Cancel(request, attempt):
            return ["Revoke", who, request, attempt]
        case Subscribe(want):
            return ["Observe", who, want]
        case FetchList():
            return ["GetList", who]
        case Probe(node):
            return ["Probe", who, node]
        case Disconnect(node):
            return ["LetGo", who, node]
        case Message(to, payload):
            return ["Publish", who, to, base64.b64encode(payload).decode("ascii")]
        case Log(text):
            return ["Print", who, text]


class Link:
    """Groups a batch's events by instance and writes one reply."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.controllers: dict[int, Controller] = {}
        self.pending: dict[int, list[Event]] = {}
        self.replies: list[list[Any]] = []
        self.now_us: int | None = None

    def line(self, text: str) -> None:
        try:
            message = json.loads(text)
        except ValueError:
            raise WireError(f"not JSON: {text[:80]!r}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError(f"not a message: {text[:80]!r}")
        try:
            self.message(message)
        except (TypeError, KeyError, IndexError, ValueError, AttributeError) as error:
            raise WireError(f"malformed {message[0]}: {error}") from None

    def message(self, m: list[Any]) -> None:
        name = m[0]
        if name == "Sync":
            self.now_us = _whole(m[1])
        elif name == "Flush":
            if self.now_us is None:
                raise ValueError("no Sync before it")
            self.run(list(self.pending))
            self.now_us = None
            self.replies.append(["Finished"])
            self.out.write("".join(json.dumps(r, separators=(",", ":")) + "\n" for r in self.replies))
            self.out.flush()
            self.replies = []
        elif name == "Hello":
            who = _whole(m[1])
            self.controllers[who] = Controller(settings_of(m[3], _whole(m[2] or 0)))
            self.pending[who] = []
        elif name == "Teardown":
            who = _whole(m[1])
            self.pending.pop(who, None)
            self.controllers.pop(who, None)
        elif name in READERS:
            who = _whole(m[1])
            if who not in self.controllers:
                raise ValueError(f"instance {who} was never started")
            self.pending.setdefault(who, []).append(READERS[name](m))

    def run(self, instances: list[int]) -> None:
        for who in instances:
            events = self.pending.pop(who, None)
            controller = self.controllers.get(who)
            if events is None or controller is None or self.now_us is None:
                continue
            try:
                actions = controller.handle(self.now_us, events)
            except Exception as error:
                self.replies.append(["Bug", who, f"{type(error).__name__}: {error}"[:200]])
                continue
            self.replies.extend(wire_of(who, action) for action in actions)


def main() -> int:
    link = Link(sys.stdout)
    try:
        for text in sys.stdin:
            if text.strip():
                link.line(text)
    except WireError as error:
        print(f"rackseam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
