"""Every error that an operator may see: in a log line, at an exit, on the admin port, on the command line.

Each kind of error has its own type with a stable code. An error says what happened and where (file, line,
key, address); its type says what it means and what an operator can do. `stackrouter explain CODE` and the
page docs/operators/errors.md are generated from the types below, so that they cannot differ;
tests/test_errors.py finds a raise or a log line that doesn't use them. Imports only the standard library,
because the gateway imports this module also at a start without optional features.
"""

from __future__ import annotations

import logging
from typing import Any, ClassVar

TABLE: dict[str, type[StackrouterError]] = {}  # by code


class StackrouterError(Exception):
    """Base class of all errors for operators. A type without a code groups others: it is caught, never
    raised."""

    code: ClassVar[str] = ""
    do: ClassVar[str] = ""

    def __init_subclass__(cls, code: str = "", do: str = "") -> None:
        cls.code, cls.do = code, do
        if code:
            TABLE[code] = cls

    def __init__(self, what: object, *, file: object = "", line: int = 0, key: str = "",
                 address: object = "") -> None:  # fmt: skip
        super().__init__(what)
        self.what = " ".join(str(what).split())  # an error is always shown on one line
        self.file, self.line, self.key, self.address = str(file), line, key, str(address)

    def in_file(self, file: str) -> StackrouterError:
        """A copy of the error that names the file, for callers that know it."""
        return type(self)(self.what, **(self.where() | {"file": file}))

    def __reduce__(self) -> tuple[Any, ...]:
        return _rebuild, (type(self), self.what, self.where())

    def __str__(self) -> str:
        places = (self.file, f"line {self.line}" if self.line else "", self.key, self.address)
        return ": ".join([*filter(None, places), self.what])

    def where(self) -> dict[str, Any]:
        """The known parts of the location: file, line, key, address."""
        places = {"file": self.file, "line": self.line, "key": self.key, "address": self.address}
        return {name: place for name, place in places.items() if place}

    def with_code(self) -> str:
        """Code, location and what happened, as log lines and admin answers show it."""
        return f"{self.code}: {self}"

    def one_line(self) -> str:
        """One line for an exit or a command: code, location, what happened, what to do."""
        return f"{self.with_code()}. {self.do}"

    def fields(self) -> dict[str, Any]:
        """The error as a JSON object."""
        return {"code": self.code, "error": str(self), "where": self.where(), "do": self.do}

    @classmethod
    def means(cls) -> str:
        """What errors of this type mean: the docstring on one line."""
        return " ".join((cls.__doc__ or "").split())


def _rebuild(cls: type[StackrouterError], what: str, where: dict[str, Any]) -> StackrouterError:
    return cls(what, **where)


def log_error(
    log: logging.Logger, error: StackrouterError, doing: str = "", level: int = logging.WARNING
) -> None:
    """Writes one log line: code, the operation in progress (`doing`), location, what happened."""
    extra = {"code": error.code, **{f"at_{name}": place for name, place in error.where().items()}}
    log.log(level, "%s: %s%s", error.code, f"{doing}: " if doing else "", error, extra=extra)


def log_unexpected(log: logging.Logger, doing: str) -> None:
    """Logs an unexpected exception with its traceback; called where it is caught so that the gateway
    continues."""
    log.exception("%s: %s", InternalError.code, doing, extra={"code": InternalError.code})


class InternalError(
    StackrouterError, code="SR-INTERNAL",
    do="Report it with the traceback. The operation in progress has failed, everything else continues; if it"
    " repeats, stop the gateway with SIGTERM and start it again.",
):  # fmt: skip
    """A defect of the program: an unexpected exception was caught."""


# --- start and reload of the configuration


class ConfigError(StackrouterError):
    """The configuration cannot be used."""


class UnsetError(
    ConfigError,
    code="SR-CONFIG-UNSET",
    do="Set the variable in the environment of the program that `run` starts.",
):
    """An environment variable that the start needs is not set."""


class VariableError(
    ConfigError, code="SR-CONFIG-ENV",
    do="Correct or unset the variable; README.md describes the valid values.",
):  # fmt: skip
    """An environment variable has an invalid value."""


class ConfigFileError(
    ConfigError, code="SR-CONFIG-FILE",
    do="Check that the file exists, is readable by the gateway's user and holds one complete JSON object;"
    " replace it by renaming a new file over it.",
):  # fmt: skip
    """The file named by GW_CONFIG cannot be read or is not valid JSON."""


class ConfigKeyError(
    ConfigError,
    code="SR-CONFIG-KEY",
    do="Add the key; the platform's documentation and README.md list them all.",
):
    """A required key of the configuration is missing."""


class ConfigValueError(
    ConfigError,
    code="SR-CONFIG-VALUE",
    do="Correct the value at the location named; nothing else has to change.",
):
    """A value in the configuration has the wrong type or is out of range."""


class AddressError(
    ConfigError, code="SR-CONFIG-ADDRESS", do="Write it as ADDRESS:PORT, with a port up to 65535."
):
    """A value is not an address with a port."""


class ListenError(
    ConfigError, code="SR-CONFIG-LISTEN",
    do="Check that the address belongs to this machine and that no other process listens there; at an"
    " upgrade the platform passes the socket in GW_LISTEN_FD.",
):  # fmt: skip
    """A listening socket cannot be opened at the configured address."""


class StartSystemError(
    ConfigError, code="SR-CONFIG-SYSTEM",
    do="Check the file or address in the system's message: permissions, disk space, descriptors.",
):  # fmt: skip
    """A system call that the start needs has failed."""


class MissingExtraError(
    ConfigError,
    code="SR-CONFIG-EXTRA",
    do="Install the package named, or turn the feature off in the operator's file.",
):
    """A feature that is turned on needs a library that is not installed."""


class RetuneError(ConfigError):
    """New settings cannot be applied; the old ones stay in force unchanged."""


class RetuneKeyError(
    RetuneError,
    code="SR-RELOAD-KEY",
    do="Add the key to the new file and send SIGHUP again; the old settings stay in force.",
):
    """A required key of the settings is missing from a reloaded file."""


class RetuneValueError(
    RetuneError, code="SR-RELOAD-VALUE",
    do="Correct the value in the new file and send SIGHUP again; the old settings stay in force.",
):  # fmt: skip
    """A reloaded file has an invalid value in its settings."""


class ManyClassesError(
    RetuneError, code="SR-RELOAD-CLASSES",
    do="Restart the gateway, which then has only the classes of its file, or return to earlier classes.",
):  # fmt: skip
    """The changes since the start have added more classes than one process can keep."""


class PolicyInForceError(
    StackrouterError, code="SR-RELOAD-POLICY",
    do="Change the fleet's settings with `stackrouter policy propose`; limits and discovery were applied.",
):  # fmt: skip
    """The settings of a reloaded file are ignored because a policy of the fleet is in force."""


# --- the operator's file


class EdgeError(ConfigError):
    """The operator's file cannot be used."""


class EdgeFileError(
    EdgeError,
    code="SR-EDGE-FILE",
    do="Check that GW_EDGE names a file of UTF-8 text that the gateway can read.",
):
    """The operator's file cannot be read."""


class EdgeTextError(
    EdgeError, code="SR-EDGE-TEXT",
    do="Correct the line; deploy/edge.txtpb is an example, `stackrouter check FILE` checks a file.",
):  # fmt: skip
    """The operator's file is not valid protobuf text of its schema."""


class EdgeValueError(
    EdgeError, code="SR-EDGE-VALUE",
    do="Set the field as stackrouter/edge/edge.proto describes, then run `stackrouter check FILE`.",
):  # fmt: skip
    """A field of the operator's file is missing or out of range."""


class EdgeNameError(
    EdgeError, code="SR-EDGE-NAME", do="Use one of the names listed, which come from the platform's file."
):
    """The operator's file names a class, a plan or a member that does not exist."""


class EdgeReaderError(
    EdgeError, code="SR-EDGE-READER",
    do="Run `stackrouter check FILE`, which shows errors in the file; check whether memory ran out at start.",
):  # fmt: skip
    """The process that reads the operator's file exited without a result."""


class FolderError(
    ConfigError,
    code="SR-COORD-FOLDER",
    do="Set coordination.folder to a directory that the gateway can write to.",
):
    """The journal of coordination cannot be written."""


class TimesError(
    ConfigError, code="SR-COORD-TIMES",
    do="Keep max_drift_ms well below ttl_ms, and election_ms at several heartbeats; see docs/operators/"
    "coordination.md for values.",
):  # fmt: skip
    """The time settings of coordination contradict each other."""


# --- discovery


class DiscoveryError(StackrouterError):
    """A call to discovery returned no list. The gateway keeps using its current list."""


class TurnedAwayError(
    DiscoveryError, code="SR-DISCOVERY-REFUSED",
    do="Nothing if it is temporary: calls are retried with increasing delays. If it lasts, discovery has"
    " too many callers: spread restarts, or turn on coordination so that one gateway calls for all.",
):  # fmt: skip
    """Discovery is reachable and refused the call."""


class SilentError(
    DiscoveryError, code="SR-DISCOVERY-SILENT",
    do="Check whether the agent runs. Until then the gateway does not learn of changes: drain no nodes"
    " until the counter discovery.answers increases again.",
):  # fmt: skip
    """A call to discovery was not answered in time; the next call asks for the whole list."""


class UnreachableError(
    DiscoveryError, code="SR-DISCOVERY-UNREACHABLE",
    do="Check that the agent listens at the address and that the configuration has the right address.",
):  # fmt: skip
    """Connecting to discovery failed, or the connection was lost."""


class NoListError(
    DiscoveryError, code="SR-DISCOVERY-ANSWER",
    do="Check what answers there (`curl ADDRESS/v1/endpoints`): it may be another service, a proxy, or a list"
    " that is truncated.",
):  # fmt: skip
    """Discovery's answer is not a list of nodes."""


class NamedTwiceError(
    DiscoveryError, code="SR-DISCOVERY-TWICE",
    do="Correct the list at its source; until then the last entry of each name is used.",
):  # fmt: skip
    """A list contains the same node more than once."""


class ShrunkError(
    DiscoveryError, code="SR-DISCOVERY-SHRUNK",
    do="Check whether these nodes are really gone. The list is applied: nodes not on it get no requests.",
):  # fmt: skip
    """A whole list has less than half of the nodes of the previous one."""


# --- connections


class NodeSocketsError(
    StackrouterError, code="SR-NODE-SOCKETS",
    do="Raise `sockets` in the limits, or spread the nodes over more gateways: 40% of the descriptors are"
    " reserved for nodes.",
):  # fmt: skip
    """An attempt was not sent because all sockets for nodes were in use."""


class ClientCommandError(
    StackrouterError, code="SR-CLIENT-COMMAND",
    do="Compare the client's command with the settings: classes, plans, sizes and shards. The first eight are"
    " logged; the counter clients.bad_command has their number.",
):  # fmt: skip
    """A client's command was invalid and was answered with an error."""


class ActionError(
    StackrouterError,
    code="SR-MODULE-ACTION",
    do="Report it: the decision module asked for something that the settings forbid.",
):
    """The decision module asked for an action that the settings do not allow."""


# --- admin port


class DoorError(StackrouterError):
    """A call on the admin port failed."""


class DoorCallError(
    DoorError,
    code="SR-DOOR-CALL",
    do="Send one line with one of the calls in docs/operators/door.md within 0.9 s.",
):
    """The line received on the admin port is not a valid call."""


class StoppingError(
    DoorError, code="SR-DOOR-STOPPING", do="Nothing: the gateway answers its open requests and exits with 0."
):
    """The gateway received a stop signal and no longer reports that it serves."""


class NotReadyError(
    DoorError, code="SR-DOOR-NOT-READY",
    do="Wait, or see `stackrouter policy status`: the gateway has not yet applied the fleet's policy.",
):  # fmt: skip
    """The gateway is not ready to serve yet."""


class DoorAcceptError(
    DoorError,
    code="SR-DOOR-ACCEPT",
    do="Check whether descriptors ran out (`limits.sockets`); accepting is retried.",
):
    """A connection to the admin port could not be accepted."""


# --- coordination


class PolicyError(StackrouterError):
    """A change of the fleet's policy failed."""


class NoPolicyError(
    PolicyError,
    code="SR-POLICY-OFF",
    do="Turn on coordination.policy in the operator's file of every member.",
):
    """Fleet policy is turned off on this gateway."""


class PolicyBaseError(
    PolicyError, code="SR-POLICY-BASE",
    do="See `stackrouter policy status`, review the change, and propose again based on the newest version.",
):  # fmt: skip
    """Another change was committed first: the base version of this one is not the newest."""


class PolicyVersionError(
    PolicyError, code="SR-POLICY-VERSION",
    do="See `stackrouter policy status` for the versions that this member knows.",
):  # fmt: skip
    """The version named, or the one before it, is unknown to this member."""


class PolicyUnknownError(
    PolicyError, code="SR-POLICY-UNKNOWN",
    do="See `stackrouter policy status` once the members have a leader; propose again only if the change is"
    " not listed.",
):  # fmt: skip
    """It is unknown whether the change was committed."""


class PolicyRefusedError(
    PolicyError, code="SR-POLICY-REFUSED", do="Follow the reason given; nothing was changed on any member."
):
    """The members rejected the change."""


class PolicyFileError(
    PolicyError,
    code="SR-POLICY-FILE",
    do="Name a file with the format of GW_CONFIG's that is readable on the member's machine.",
):
    """The file of a proposed policy is invalid."""


class PolicyTakeError(
    PolicyError, code="SR-POLICY-TAKE",
    do="Compare this member's own file with those of the others, which the policy fits. The member"
    " continues with its last version and reports that it is not ready.",
):  # fmt: skip
    """This member could not apply a committed policy."""


class StoreError(
    StackrouterError, code="SR-COORD-STORE",
    do="Check whether the peers or the store answer at their addresses; without them the gateway serves"
    " alone, as with coordination turned off.",
):  # fmt: skip
    """The store used for coordination is unreachable or gave an invalid answer."""


# --- separate control plane


class ControlError(StackrouterError):
    """An error between a gateway and the control plane."""


class NoControlError(
    ControlError, code="SR-CONTROL-OFF",
    do="Set control { enabled region replica } in the operator's file of this gateway.",
):  # fmt: skip
    """This gateway is not connected to a control plane."""


class FrameError(ControlError):
    """Received bytes are not a valid frame of the control plane."""


class FrameTooLargeError(
    FrameError, code="SR-CONTROL-FRAME-SIZE",
    do="Check what connects there: the first bytes of other protocols are read as a length. Control ports"
    " are for gateways and replicas only.",
):  # fmt: skip
    """A frame announces more bytes than the maximum. The connection was closed."""


class FrameUnreadableError(
    FrameError, code="SR-CONTROL-FRAME",
    do="Check that both ends run compatible releases, and that nothing between them modifies the data.",
):  # fmt: skip
    """A frame cannot be decoded. The connection was closed."""


class FrameEmptyError(
    FrameError, code="SR-CONTROL-FRAME-EMPTY",
    do="Check that both ends run compatible releases: a frame of a newer type is decoded as an empty one.",
):  # fmt: skip
    """A frame has no content that this release knows. The connection was closed."""


class FrameUnexpectedError(
    FrameError, code="SR-CONTROL-FRAME-UNEXPECTED",
    do="Check that both ends run compatible releases; report it if they do.",
):  # fmt: skip
    """A valid frame is not allowed in this state of the connection. The connection was closed."""


class SnapshotRefusedError(
    ControlError, code="SR-CONTROL-SNAPSHOT",
    do="Nothing if temporary: another replica is tried. If it lasts, report it with the replica's name.",
):  # fmt: skip
    """A snapshot from a control replica is invalid; nothing of it was applied."""


class StreamGapError(
    ControlError, code="SR-CONTROL-GAP",
    do="Nothing: the gateway resumes from its position. If it lasts, restart the replica named.",
):  # fmt: skip
    """A change is missing from the stream of a control replica; nothing after it was applied."""


class ReplicaBehindError(
    ControlError, code="SR-CONTROL-BEHIND",
    do="Nothing if it is temporary: another replica is tried. If it lasts, see `stackrouter control status`"
    " of the replica: it cannot reach the others.",
):  # fmt: skip
    """A control replica's state is older than the gateway's, which never returns to an older state."""


class ReplicaSilentError(
    ControlError, code="SR-CONTROL-SILENT",
    do="Check whether the replica runs and reaches a majority of the voters; another one is tried.",
):  # fmt: skip
    """A control replica did not answer in time."""


class ReplicaRejectedError(
    ControlError, code="SR-CONTROL-REJECTED",
    do="See the reason in the line, and `stackrouter control status` of the replica; another one is tried.",
):  # fmt: skip
    """A control replica closed the connection and gave a reason."""


# --- traces and the command line


class TraceError(StackrouterError):
    """A trace cannot be read or written."""


class TraceReadError(
    TraceError,
    code="SR-TRACE-READ",
    do="Check that the path is right and that the file was written by `trace` of a gateway.",
):
    """A file cannot be opened or is not a trace: it has no complete block."""


class TraceWriteError(
    TraceError,
    code="SR-TRACE-WRITE",
    do="Free disk space or lower trace.most_mb; the gateway continues without the trace.",
):
    """Facts could not be written to the trace; they are counted as left out."""


class LeftOutError(
    TraceError,
    code="SR-TRACE-LEFT-OUT",
    do="Treat reports on this period with care; check whether the disk is fast enough.",
):
    """Some facts are missing from the trace."""


class InputError(StackrouterError):
    """The input of a command is invalid: exit code 2."""


class OptionError(InputError, code="SR-INPUT-OPTION", do="See the command's --help for the valid values."):
    """An option has an invalid value."""


class OutputError(
    InputError,
    code="SR-INPUT-OUTPUT",
    do="Name a writable path that is not one of the input files.",
):
    """A file cannot be written."""


class CapacityFileError(
    InputError,
    code="SR-INPUT-CAPACITY",
    do="Generate it again with `stackrouter bench capacity` or `stackrouter fleet scale`.",
):
    """A file under docs/capacity cannot be read or has an invalid value."""


class MeasureError(
    InputError,
    code="SR-INPUT-MEASURE",
    do="Run it again on an idle machine; `--only NAME` runs a single measurement.",
):
    """A measurement of `stackrouter bench capacity` ended without results, so nothing was written."""


class MixedTracesError(
    InputError, code="SR-INPUT-TRACES", do="Report on the traces of one deployment at a time."
):
    """The traces given come from different deployments."""


class DoorUnreachableError(
    InputError,
    code="SR-INPUT-DOOR",
    do="Check that --door (or GW_ADMIN) is the admin address of a running member.",
):
    """A member's admin port is unreachable or gave an invalid answer."""


class DoorSaidNoError(
    InputError,
    code="SR-INPUT-REFUSED",
    do="Look up the code in the member's answer with `stackrouter explain CODE`.",
):
    """A member refused a call on its admin port."""


class CodeError(InputError, code="SR-INPUT-CODE", do="Run `stackrouter explain` for a list of all codes."):
    """There is no error with this code."""


class ScaleLimitError(
    InputError, code="SR-SCALE-LIMIT",
    do="Raise the limit named on the machine, or change the size on the command line, and run it again.",
):  # fmt: skip
    """This machine's limits do not allow a scale run of the requested size; nothing was started."""


class IdLogError(
    StackrouterError, code="SR-IDS-LOG",
    do="Check that $TMPDIR is a directory with free space that all processes of the gateway share and can"
    " write to. Until the next start each process knows the ids of its own requests only.",
):  # fmt: skip
    """The log with which the processes of a gateway share the ids of requests during an upgrade cannot be
    used."""


class LimitLogError(
    StackrouterError, code="SR-LIMITS-LOG",
    do="Check that $TMPDIR is a directory with free space that all processes of the gateway share and can"
    " write to. Limits still hold: until only one process is left, each process keeps to an even part of"
    " them.",
):  # fmt: skip
    """The log with which the processes of a gateway share its limits during an upgrade cannot be used."""


class ProcessesUncountedError(
    StackrouterError, code="SR-LIMITS-PROCESSES",
    do="Check that the system allows record locks on the inherited listening socket, and that at most eight"
    " processes of this gateway run. Until it is restarted, this one keeps to a third of each limit.",
):  # fmt: skip
    """The other processes of this gateway cannot be counted; its limits are split as if there were three."""


class RuleBrokenError(
    StackrouterError, code="SR-RULE-BROKEN",
    do="Find the log lines of the request by its id, and report them together with the counters that SIGUSR1"
    " prints: a rule of the protocol was broken, whatever the cause.",
):  # fmt: skip
    """A check after the fact found that something was sent or answered against the rules."""


class StartError(
    StackrouterError,
    code="SR-STANDIN-START",
    do="See the line quoted, which is the last line that the process printed.",
):
    """A process of a demo or a fault harness did not start."""


def page() -> str:
    """The text of docs/operators/errors.md."""
    rows = [f"| `{code}` | {cls.means()} | {cls.do} |" for code, cls in sorted(TABLE.items())]
    return "\n".join([
        "# Errors",
        "",
        "Generated by `stackrouter explain --page` from the types in `stackrouter/errors.py`; do not edit.",
        "",
        "Every error in a log line, at an exit, on the admin port or on the command line begins with its",
        "code. At an exit and on the command line the line ends with what to do; elsewhere use",
        "`stackrouter explain CODE`. Codes do not change between versions.",
        "",
        "| code | what it means | what to do |",
        "| --- | --- | --- |",
        *rows,
        "",
    ])  # fmt: skip
