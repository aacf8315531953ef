"""Stand-in storage nodes, discovery service and clients around the members of a harness."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from stackrouter.fleet.options import HarnessOptions
from stackrouter.standins.clients import StandinClients
from stackrouter.standins.discovery import StandinDiscovery, entry
from stackrouter.standins.fleet import Scene, settings, volume_loads
from stackrouter.standins.node import NodeBehavior, StandinNode

NODE_COUNT = 6
MIN_LOAD = 0.1  # load that the limits are computed from when a run has no clients


class Backend:
    """Starts storage nodes and discovery at once, and clients on `start_clients`."""

    def __init__(self, options: HarnessOptions) -> None:
        self._seed = options.seed
        self._scene = Scene(options.members, NODE_COUNT, options.seed, options.load or MIN_LOAD, "none")
        self._usual_units_per_s, self._volume_loads, _ = volume_loads(self._scene)
        provisioned = {
            h.volume: self._usual_units_per_s * (2 if h.plan == "priority" else 1) for h in self._volume_loads
        }
        self.nodes = [
            StandinNode(f"s-{i + 1}", i, NodeBehavior(), options.seed, provisioned) for i in range(NODE_COUNT)
        ]
        self.discovery = StandinDiscovery(
            [entry(n.name, n.address, n.shard, "hall-a", "std") for n in self.nodes]
        )
        self.clients: StandinClients | None = None

    def settings(self) -> dict[str, Any]:
        """The platform settings that every member starts with."""
        return settings(self._scene, self._usual_units_per_s)

    def listing(self) -> dict[str, Any]:
        """Discovery's current response: the list version and the storage nodes."""
        return self.discovery.listing()

    def start_clients(self, ports: Sequence[int]) -> None:
        """Starts clients that send requests to the members on these ports until `stop_clients`."""
        self.clients = StandinClients(self._volume_loads, [("127.0.0.1", port) for port in ports], self._seed)

    def stop_clients(self) -> None:
        """Stops the clients, if they were started."""
        if self.clients is not None:
            self.clients.stop()

    def stop(self) -> None:
        """Stops discovery and the storage nodes."""
        self.discovery.stop()
        for node in self.nodes:
            node.stop()
