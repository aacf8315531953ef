"""Adapter between the bench simulator and the decision module.

Reads messages from standard input and writes replies to standard output, one JSON array per line. It only
translates; every decision is in control.py.
"""

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
    """A line of the input violates the protocol."""


def parse_settings(conf: dict[str, Any], seed: int) -> Settings:
    """Settings from the simulator's start message; absent and null values take the defaults of `Settings`."""

    def section(key: str) -> dict[str, Any]:
        return conf.get(key) or {}

    family, caps, rules = section("FamilyInfo"), section("Caps"), section("Obligations")
    writes = family.get("ClassWrites") or []
    classes = tuple(
        RequestClass(
            aim_us=profile.get("AimUs") or profile["HardLimitUs"],
            deadline_us=profile["HardLimitUs"],
            effect=Effect(profile["Effect"]),  # no default: one that is wrong makes writes run twice
            group=profile.get("Group") or "all",
            key_ttl_us=profile.get("KeyTtlUs") or 0,
            ordered=bool(profile.get("FifoByKey")),
            streaming=bool(profile.get("Streaming")),
            worth=_number(profile, "Gain", 1.0),
            late_worth=_number(profile, "LateShare", 0.0),
            writes=bool(writes[i]) if i < len(writes) else False,
        )
        for i, profile in enumerate(conf.get("Profiles") or [])
    )
    plans = tuple(
        Plan(
            weight=_number(grade, "Shares", 1.0),
            reserve_units_per_s=_number(grade, "FloorRate", 0.0),
            limit_units_per_s=_number(grade, "CeilingRate", 0.0),
            burst_units=_number(grade, "CapDepth", 0.0),
            tolerance_units=_number(grade, "Tolerance", 0.0),
            usual_units_per_s=_number(grade, "UsualRate", 0.0),
            price=_number(grade, "Price", 1.0),
        )
        for grade in conf.get("Grades") or []
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


def _read_list(message: list[Any]) -> Event:
    nodes = tuple(
        NodeEntry(
            node=entry[0],
            zone=entry[1] or 0,
            kind=entry[2] or 0,
            shard=entry[3],
            state=NODE_STATES[entry[4]],
            rating=1.0 if entry[5] is None else float(entry[5]),
            launched_us=(entry[6] if len(entry) > 6 else 0) or 0,
        )
        for entry in message[4] or ()
    )
    return ListUpdate(LIST_KINDS[message[2]], nodes, message[3] or 0)


def _read_arrival(message: list[Any]) -> Event:
    options = (message[11] if len(message) > 11 else 0) or 0
    return Arrival(
        request=_string(message[2]),
        request_class=_integer(message[3]),
        plan=_integer(message[4] or 0),
        key=message[5] or "",
        time_left_us=_integer(message[6]),
        volume=message[7] or "",
        units=float(message[8]),
        shard=_integer(-1 if message[9] is None else message[9]),
        gateways=_integer(message[10] or 1),
        repeat=bool(options & REPEAT_BIT),
        write=bool(options & WRITE_BIT),
    )


def _read_answer(message: list[Any]) -> Event:
    return Answer(
        request=_string(message[2]),
        closed=bool(message[3]),
        elsewhere_units=float(message[4] or 0),
        attempt=_integer(message[5]),
        use_percent_plus_one=_integer(message[6] or 0),
        outcome=OUTCOMES.get(message[7], Outcome.UNKNOWN),
        node=_string(message[8]),
        rtt_us=_integer(message[9] or 0),
        report=_report(message[10] if len(message) > 10 else None),
    )


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, int | float) or isinstance(value, bool) or value != int(value):
        raise TypeError(f"expected an integer, got {value!r}")
    return int(value)


READERS: dict[str, Callable[[list[Any]], Event]] = {
    "Registry": _read_list,
    "Ask": _read_arrival,
    "Response": _read_answer,
    "Started": lambda message: Began(
        _string(message[2]), _integer(message[4]), _string(message[5]), _integer(message[3] or 0)
    ),
    "Abandoned": lambda message: Withdrawn(_string(message[2])),
    "Bell": lambda message: Timer(_string(message[2])),
    "Sampled": lambda message: ProbeResult(
        _string(message[2]),
        OUTCOMES.get(message[3], Outcome.UNKNOWN),
        _integer(message[4] or 0),
        _report(message[5] if len(message) > 5 else None),
    ),
    "Memo": lambda message: PeerMessage(_integer(message[2]), base64.b64decode(message[3] or "")),
}


def encode_action(instance: int, action: Action) -> list[Any]:
    """The protocol message for one action of an instance."""
    match action:
        case Send(request, node, timeout_us):
            return ["PassOn", instance, request, node, timeout_us]
        case SetTimer(tag, in_us):
            return ["NotifyMe", instance, tag, in_us]
        case Refuse(request, pause_us):
            return ["NotNow", instance, request, pause_us]
        case Fail(request):
            return ["Lose", instance, request]
        case Cancel(request, attempt):
            return ["Revoke", instance, request, attempt]
        case Subscribe(want):
            return ["Observe", instance, want]
        case FetchList():
            return ["GetList", instance]
        case Probe(node):
            return ["Probe", instance, node]
        case Disconnect(node):
            return ["LetGo", instance, node]
        case Message(to, payload):
            return ["Publish", instance, to, base64.b64encode(payload).decode("ascii")]
        case Log(text):
            return ["Print", instance, text]


class Link:
    """Collects the events of a batch by instance, and writes all replies at its end."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.controllers: dict[int, Controller] = {}
        self.pending: dict[int, list[Event]] = {}
        self.replies: list[list[Any]] = []
        self.now_us: int | None = None

    def handle_line(self, text: str) -> None:
        """Process one line of input. Raises WireError."""
        try:
            message = json.loads(text)
        except ValueError:
            raise WireError(f"line is not valid JSON: {text[:80]!r}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError(f"line is not an array that starts with a message name: {text[:80]!r}")
        try:
            self._handle_message(message)
        except (TypeError, KeyError, IndexError, ValueError, AttributeError) as error:
            raise WireError(f"malformed {message[0]} message: {error}") from None

    def _handle_message(self, message: list[Any]) -> None:
        name = message[0]
        if name == "Sync":
            self.now_us = _integer(message[1])
        elif name == "Flush":
            if self.now_us is None:
                raise ValueError("no Sync message before it")
            self._run_batch(list(self.pending))
            self.now_us = None
            self.replies.append(["Finished"])
            self.out.write("".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in self.replies))
            self.out.flush()
            self.replies = []
        elif name == "Hello":
            instance = _integer(message[1])
            self.controllers[instance] = Controller(parse_settings(message[3], _integer(message[2] or 0)))
            self.pending[instance] = []
        elif name == "Teardown":
            instance = _integer(message[1])
            self.pending.pop(instance, None)
            self.controllers.pop(instance, None)
        elif name in READERS:
            instance = _integer(message[1])
            if instance not in self.controllers:
                raise ValueError(f"instance {instance} has not been started")
            self.pending.setdefault(instance, []).append(READERS[name](message))

    def _run_batch(self, instances: list[int]) -> None:
        for instance in instances:
            events = self.pending.pop(instance, None)
            controller = self.controllers.get(instance)
            if events is None or controller is None or self.now_us is None:
                continue
            try:
                actions = controller.handle(self.now_us, events)
            except Exception as error:
                self.replies.append(["Bug", instance, f"{type(error).__name__}: {error}"[:200]])
                continue
            self.replies.extend(encode_action(instance, action) for action in actions)


def main() -> int:
    """Serve standard input until its end; exit status 2: the input violates the protocol."""
    link = Link(sys.stdout)
    try:
        for text in sys.stdin:
            if text.strip():
                link.handle_line(text)
    except WireError as error:
        print(f"rackseam: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
