"""The admin socket's `policy` calls: `policy status`, `policy propose BASE FILE`, `policy rollback BASE`.

A change is validated here, by the same rules as a file at SIGHUP, before it is submitted to the group. BASE
is the newest version that the caller knows of: if another change was committed first, the call is refused and
changes nothing.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from stackrouter.config import with_policy
from stackrouter.coord.ledger import MAX_POLICY_SIZE
from stackrouter.coord.member import Member
from stackrouter.coord.policy import OWN
from stackrouter.coord.port import UNKNOWN, Propose, ServingReport
from stackrouter.errors import (
    ConfigError,
    DoorCallError,
    PolicyBaseError,
    PolicyError,
    PolicyFileError,
    PolicyRefusedError,
    PolicyUnknownError,
    PolicyVersionError,
)

ANSWER_S = 0.8  # the admin socket has to answer within 1 s
USAGE = "policy status | policy propose BASE FILE | policy rollback BASE"


@dataclass(frozen=True, slots=True)
class PolicyStatus:
    """The answer to `policy status`, written as JSON.

    `version`: the newest committed version; `members`: by member, the version it serves under and for how
    many seconds; `versions`: number, digest and proposer; `replicas`: by control replica, what its gateways
    served under at its last report.
    """

    version: int
    serving: int
    since_s: float
    in_touch: bool
    ready: bool
    members: dict[str, tuple[int, int]]
    versions: list[tuple[int, str, str]]
    replicas: dict[str, ServingReport] = field(default_factory=dict)


class PolicyCalls:
    """Answers the `policy` calls.

    `check` raises a ConfigError for a policy that gateways cannot apply. `reports`: the control replicas'
    reports on their gateways; empty where the gateways themselves are members.
    """

    def __init__(self, member: Member, after_us: int, check: Callable[[str], object] = with_policy,
                 reports: Callable[[], dict[str, ServingReport]] = dict) -> None:  # fmt: skip
        self._member, self._after_us, self._check, self._reports = member, after_us, check, reports

    def answer(self, call: str) -> str:
        """The answer to one call line; it begins with SUCCESS or FAILURE."""
        try:
            match call.split(maxsplit=3):
                case [_, "status"]:
                    return f"SUCCESS {self._status()}"
                case [_, "propose", base, file] if base.isdigit():
                    return self._propose(int(base), canonical(_read(file)))
                case [_, "rollback", base] if base.isdigit():
                    return self._propose(int(base), self._previous_body(int(base)))
        except (PolicyError, ConfigError) as error:
            return f"FAILURE {error.with_code()}"
        return f"FAILURE {DoorCallError(f'usage: {USAGE}').with_code()}"

    def _status(self) -> str:
        member, policy_state = self._member, self._member.policy_state
        assert policy_state is not None
        versions = member.store.policies()
        now = member.clock()
        status = PolicyStatus(
            version=versions[-1].number if versions else OWN,
            serving=policy_state.serving.number,
            since_s=round((now - policy_state.since) / 1e6, 1),
            in_touch=policy_state.heartbeat_valid(now),
            ready=policy_state.ready(now),
            members=member.store.present(),
            versions=[(v.number, v.digest[:12], v.by) for v in versions],
            replicas=self._reports(),
        )
        return json.dumps(asdict(status), separators=(",", ":"))

    def _previous_body(self, base: int) -> str:
        versions = {v.number: v for v in self._member.store.policies()}
        if base not in versions:
            raise PolicyVersionError(f"version {base} is not known here")
        if base - 1 not in versions:
            raise PolicyVersionError(f"there is no version before {base} to go back to")
        return versions[base - 1].body

    def _propose(self, base: int, body: str) -> str:
        self._check(body)
        digest = hashlib.sha256(body.encode()).hexdigest()
        command = Propose(self._member.name, base, digest, body, self._after_us)
        reason = self._member.ask_and_wait(command, ANSWER_S)
        if reason is None or reason == UNKNOWN:
            raise PolicyUnknownError("not known whether it was committed: see policy status")
        if reason == "base":
            message = f"another change came first: version {base} is not the newest, see policy status"
            raise PolicyBaseError(message)
        if reason:
            raise PolicyRefusedError(f"not committed: {reason}")
        return f"SUCCESS version={base + 1} digest={digest[:12]} in force in {self._after_us / 1e6:g} s"


def canonical(text: str) -> str:
    """The settings alone in canonical JSON, so that equal settings have equal digests."""
    try:
        return json.dumps({"settings": json.loads(text)["settings"]}, sort_keys=True, indent=1)
    except (ValueError, KeyError, TypeError) as error:
        raise PolicyFileError(f"policy: key settings is missing or the file is not JSON: {error}") from None


def _read(file: str) -> str:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PolicyFileError(error, file=file) from None
    if len(text) > MAX_POLICY_SIZE:
        raise PolicyFileError(f"more than {MAX_POLICY_SIZE} bytes", file=file)
    return text
