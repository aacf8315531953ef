"""Who serves under which version of the policy, as counts and the names of those behind. No I/O."""

from __future__ import annotations

from collections import Counter
from itertools import chain, islice

from stackrouter.coord.ledger import MOST_REPORTED
from stackrouter.coord.port import ServingReport


class ServingCounts:
    """Of a replica's gateways. What a heartbeat costs does not depend on how many there are."""

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}  # by gateway
        self._gateways: Counter[int] = Counter()  # by version
        self._behind: dict[str, None] = {}
        self._active = 0
        self._relayed: dict[str, ServingReport] = {}  # by replica that observes

    def activated(self, active: int) -> None:
        """This is the active version now: look at all gateways once."""
        self._active = active
        self._behind = {name: None for name, version in self._versions.items() if version < active}

    def serves(self, gateway: str, version: int) -> None:
        """A gateway serves under this version now."""
        self.forget(gateway)
        self._versions[gateway] = version
        self._gateways[version] += 1
        if version < self._active:
            self._behind[gateway] = None

    def relays(self, replica: str, report: ServingReport) -> None:
        """A replica that observes tells what its own gateways serve under."""
        self._relayed[replica] = report

    def forget(self, gateway: str) -> None:
        """A gateway, or a replica that observes, has gone."""
        self._relayed.pop(gateway, None)
        version = self._versions.pop(gateway, None)
        if version is None:
            return
        self._behind.pop(gateway, None)
        self._gateways[version] -= 1
        if not self._gateways[version]:
            del self._gateways[version]

    def report(self, connected: int) -> ServingReport:
        """The versions that the most serve under, and some of those behind; both bounded. With the gateways
        of replicas that observe here. `connected`: gateways and such replicas, also those that have not
        said what they serve under."""
        counts, relayed = self._gateways, self._relayed.values()
        if relayed:
            counts = counts.copy()
            for report in relayed:
                counts.update(dict(report.by_version))
        behind = chain(self._behind, *(report.behind for report in relayed))
        by_version = tuple(sorted(counts.most_common(MOST_REPORTED)))
        gateways = connected - len(relayed) + sum(report.gateways for report in relayed)
        return ServingReport(gateways, by_version, tuple(islice(behind, MOST_REPORTED)))
