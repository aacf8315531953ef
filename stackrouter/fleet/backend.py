"""What the members of a harness stand in front of: stand-in storage nodes, discovery and clients."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackrouter.fleet.options import HarnessOptions
from stackrouter.standins.clients import StandinClients
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.fleet import Scene, habits, settings
from stackrouter.standins.node import Nature, StandinNode

NODES = 6
LEAST_LOAD = 0.1  # what limits are reckoned from where no clients ask


class Backend:
    """Storage nodes and discovery from the start on; clients once they are asked for."""

    def __init__(self, options: HarnessOptions) -> None:
        self._seed = options.seed
        self._scene = Scene(options.members, NODES, options.seed, options.load or LEAST_LOAD, "none")
        self._usual, self._habits, _ = habits(self._scene)
        sized = {h.volume: self._usual * (2 if h.plan == "priority" else 1) for h in self._habits}
        self.nodes = [StandinNode(f"s-{i + 1}", i, Nature(), options.seed, sized) for i in range(NODES)]
        self.discovery = StandinDiscovery(
            [entry(n.name, n.address, n.shard, "hall-a", "std") for n in self.nodes]
        )
        self.clients: StandinClients | None = None

    def settings(self) -> dict[str, Any]:
        """The platform's settings that all members start with."""
        return settings(self._scene, self._usual)

    def listing(self) -> dict[str, Any]:
        """Discovery's answer: its version of the list, and the storage nodes."""
        return self.discovery.listing()

    def start_clients(self, ports: Sequence[int]) -> None:
        """Have clients ask the members at these ports, until `stop`."""
        self.clients = StandinClients(self._habits, [("127.0.0.1", port) for port in ports], self._seed)

    def stop_clients(self) -> None:
        """End the clients, if there are any."""
        if self.clients is not None:
            self.clients.stop()

    def stop(self) -> None:
        """End discovery and the storage nodes."""
        self.discovery.stop()
        for node in self.nodes:
            node.stop()
