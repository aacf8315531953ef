"""Counts gateways by the policy version they serve under, and names those behind. No I/O."""

from __future__ import annotations

from collections import Counter
from itertools import chain, islice

from stackrouter.coord.ledger import MAX_REPORT_ITEMS
from stackrouter.coord.port import ServingReport


class ServingCounts:
    """Counts over the gateways of one replica. The cost of a heartbeat does not depend on their number."""

    def __init__(self) -> None:
        self._version_of: dict[str, int] = {}  # by gateway
        self._count_by_version: Counter[int] = Counter()  # by version
        self._behind: dict[str, None] = {}
        self._active = 0
        self._relayed: dict[str, ServingReport] = {}  # by observing replica

    def activated(self, active: int) -> None:
        """Set the active version, and find all gateways behind it."""
        self._active = active
        self._behind = {name: None for name, version in self._version_of.items() if version < active}

    def set_serving(self, gateway: str, version: int) -> None:
        """Record the version that a gateway serves under."""
        self.forget(gateway)
        self._version_of[gateway] = version
        self._count_by_version[version] += 1
        if version < self._active:
            self._behind[gateway] = None

    def set_relayed(self, replica: str, report: ServingReport) -> None:
        """Record the report of an observing replica on its own gateways."""
        self._relayed[replica] = report

    def forget(self, gateway: str) -> None:
        """Remove a gateway or an observing replica that disconnected."""
        self._relayed.pop(gateway, None)
        version = self._version_of.pop(gateway, None)
        if version is None:
            return
        self._behind.pop(gateway, None)
        self._count_by_version[version] -= 1
        if not self._count_by_version[version]:
            del self._count_by_version[version]

    def report(self, connected: int) -> ServingReport:
        """Gateway counts of the most used versions, and some names of gateways behind; both bounded. Includes
        the gateways of observing replicas connected here. `connected`: the number of connected gateways and
        observing replicas, including those that have not reported a version yet."""
        counts, relayed = self._count_by_version, self._relayed.values()
        if relayed:
            counts = counts.copy()
            for report in relayed:
                counts.update(dict(report.by_version))
        behind = chain(self._behind, *(report.behind for report in relayed))
        by_version = tuple(sorted(counts.most_common(MAX_REPORT_ITEMS)))
        gateways = connected - len(relayed) + sum(report.gateways for report in relayed)
        return ServingReport(gateways, by_version, tuple(islice(behind, MAX_REPORT_ITEMS)))
