"""Conversion between the ledger's types (versions, discovery's JSON items, events) and protobuf messages. No
I/O."""

from __future__ import annotations

from typing import Any

from stackrouter.controlplane.frames_pb2 import (
    Delta,
    Node,
    NodeChanges,
    PolicyVersion,
    Position,
    ServingSummary,
)
from stackrouter.coord.ledger import MAX_REPORT_ITEMS
from stackrouter.coord.policy import Version
from stackrouter.coord.port import ActiveSeen, ListingSeen, LogPosition, PolicySeen, ServingReport

REMOVED = "removed"
Change = PolicySeen | ActiveSeen | ListingSeen


def position_message(position: LogPosition) -> Position:
    """Convert a position to its message."""
    return Position(history=position.history, number=position.number)


def position_from(message: Position) -> LogPosition:
    """Convert a message to a position."""
    return LogPosition(message.history, message.number)


def summary_message(report: ServingReport) -> ServingSummary:
    """Convert a serving report to its message."""
    counts = [ServingSummary.VersionCount(version=v, gateways=count) for v, count in report.by_version]
    return ServingSummary(gateways=report.gateways, by_version=counts, behind=report.behind)


def report_from(message: ServingSummary) -> ServingReport:
    """Convert a message to a serving report, truncated to MAX_REPORT_ITEMS versions and names."""
    by_version = tuple((count.version, count.gateways) for count in message.by_version[:MAX_REPORT_ITEMS])
    return ServingReport(message.gateways, by_version, tuple(message.behind[:MAX_REPORT_ITEMS]))


def policy_message(version: Version) -> PolicyVersion:
    """Convert a policy version to its message."""
    return PolicyVersion(
        number=version.number,
        digest=version.digest,
        body=version.body,
        after_us=version.after_us,
        proposed_by=version.by,
    )


def version_from(message: PolicyVersion) -> Version:
    """Convert a message to a policy version."""
    return Version(message.number, message.digest, message.body, message.after_us, message.proposed_by)


def node_message(item: dict[str, Any]) -> Node:
    """Convert an entry of discovery's JSON list to a message."""
    return Node(
        name=item["name"],
        address=item.get("address") or "",
        group=int(item.get("group") or 0),
        status=item["status"],
        zone=item.get("zone") or "",
        type=item.get("type") or "",
        weight=float(item.get("weight", 1.0)),
        since_ms=max(0, int(item.get("since_ms") or 0)),
    )


def item_from(node: Node) -> dict[str, Any]:
    """Convert a message to an entry of discovery's JSON list."""
    return {
        "name": node.name,
        "address": node.address,
        "group": node.group,
        "status": node.status,
        "zone": node.zone,
        "type": node.type,
        "weight": node.weight,
        "since_ms": node.since_ms,
    }


def delta_from(change: Change) -> Delta:
    """Convert a numbered change of the ledger to a message."""
    match change:
        case PolicySeen():
            return Delta(number=change.change, committed=policy_message(change.version))
        case ActiveSeen():
            return Delta(number=change.change, activated=change.number)
        case ListingSeen():
            nodes = [node_message(item) for item in change.listing["endpoints"]]
            index = int(change.listing["index"])
            return Delta(
                number=change.number, nodes=NodeChanges(index=index, whole=change.base is None, nodes=nodes)
            )
