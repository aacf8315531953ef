"""Starts and stops everything in a scale run: discovery, links, control replicas, real gateways and the
processes of hollow gateways."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from random import Random

from stackrouter.errors import StartError
from stackrouter.fleet.ports import Ports
from stackrouter.fleet.scale import admin_client
from stackrouter.fleet.scale.files import (
    Reach,
    ReplicaPorts,
    drift_ms,
    gateway_config,
    gateway_file,
    observing_replica_file,
    policy_file,
    storage_nodes,
    voter_file,
)
from stackrouter.fleet.scale.hollow import HollowSetup
from stackrouter.fleet.scale.layout import BASELINE, HollowPlace, Layout, RealPlace, ReplicaPlace
from stackrouter.fleet.scale.network import Network
from stackrouter.fleet.scale.options import ScaleOptions
from stackrouter.fleet.scale.processes import Child, HollowChild, stop_all, wait_until
from stackrouter.fleet.scale.reports import Report
from stackrouter.standins.discovery import StandinDiscovery

REPLICA_START_S = 15.0
GATEWAY_START_S, GATEWAY_START_EACH_S = 30.0, 0.01  # base, plus per hollow gateway


class Harness:
    """A context manager: on exit, everything that was started is stopped. `on_report` is called with the name
    of a process of hollow gateways and each of its reports."""

    def __init__(self, options: ScaleOptions, layout: Layout, folder: Path,
                 on_report: Callable[[str, Report], None]) -> None:  # fmt: skip
        self.options, self.layout, self.folder = options, layout, folder
        self._on_report = on_report
        self._ports = Ports()
        self.discovery = StandinDiscovery(storage_nodes(options.nodes))
        self.replica_ports = {
            place.name: ReplicaPorts(self._ports.allocate(), self._ports.allocate(), self._ports.allocate())
            for place in layout.replicas
        }
        self.network = Network(
            layout,
            {name: ports.observed for name, ports in self.replica_ports.items()},
            {name: ports.peer for name, ports in self.replica_ports.items()},
            Random(options.seed),
            cuttable=options.faults,
        )
        self.admin_ports: dict[str, int] = {}  # of the real gateways and the baseline
        self.replicas = {place.name: self._make_replica(place) for place in layout.replicas}
        self.reals = {real.name: self._make_real(real, i) for i, real in enumerate(layout.reals)}
        self.baseline = self._make_gateway(BASELINE, len(layout.reals), {})
        self.hollows = {place.name: self._make_hollow(place, i) for i, place in enumerate(layout.processes)}
        self.killed_statuses: list[admin_client.ReplicaStatus] = []  # last status of each killed process
        self._policy_count = 0

    def __enter__(self) -> Harness:
        return self

    def __exit__(self, *_: object) -> None:
        for child in self.children:
            child.measure(False)
        stop_all(self.gateways)
        stop_all(list(self.replicas.values()))
        self.network.close()
        self.discovery.stop()
        self._ports.close()

    @property
    def gateways(self) -> list[Child]:
        """The processes of all gateways, including the baseline."""
        return [*self.reals.values(), self.baseline, *self.hollows.values()]

    @property
    def children(self) -> list[Child]:
        return [*self.replicas.values(), *self.gateways]

    def start_replicas(self, ready: Callable[[], bool]) -> None:
        """Start the replicas and wait until `ready`. Raises StartError if that takes too long."""
        for child in self.replicas.values():
            child.start()
        what = f"the control replicas were not ready within {REPLICA_START_S:g} s"
        wait_until(ready, REPLICA_START_S, list(self.replicas.values()), lambda: what)

    def start_gateways(self, ready: Callable[[], bool], ready_summary: Callable[[], str]) -> None:
        """Start the gateways and wait until `ready`. Raises StartError, with `ready_summary` in its text, if
        that takes too long."""
        for child in self.gateways:
            child.start()
        within_s = GATEWAY_START_S + GATEWAY_START_EACH_S * self.options.hollow
        what = f"not all gateways were ready within {within_s:g} s"
        wait_until(ready, within_s, self.children, lambda: f"{what}: {ready_summary()}")

    def status(self, replica: str) -> admin_client.ReplicaStatus | None:
        """The status of a replica, or None if it does not answer."""
        return admin_client.replica_status(self.replica_ports[replica].admin)

    def kill_replica(self, replica: str) -> None:
        """Send SIGKILL. The counters restart at zero in the next process, so their last values are kept in
        `killed_statuses`."""
        if (status := self.status(replica)) is not None:
            self.killed_statuses.append(status)
        self.replicas[replica].kill()

    def wipe_disk(self, replica: str) -> None:
        """Delete the stored data of a replica that is not running."""
        if self.replicas[replica].running:
            raise StartError(f"{replica}: cannot wipe the disk of a running replica")
        shutil.rmtree(self._replica_folder(replica), ignore_errors=True)

    def new_policy(self) -> Path:
        """Write a policy file whose settings differ from all previous ones."""
        self._policy_count += 1
        file = self.folder / f"policy-{self._policy_count}.json"
        file.write_text(policy_file(self.options, self._policy_count), encoding="utf-8")
        return file

    def _replica_folder(self, replica: str) -> Path:
        return self.folder / f"{replica}.raft"

    def _make_replica(self, place: ReplicaPlace) -> Child:
        file = self.folder / f"{place.name}.txtpb"
        ports = self.replica_ports[place.name]
        voters = [other for other in self.layout.replicas if other.votes]
        if place.votes:
            own_addresses = [
                self._reach_at(v, f"127.0.0.1:{self.replica_ports[v.name].peer}") for v in voters
            ]
            peers = [
                (reach, self._dial_address(place, voter))
                for reach, voter in zip(own_addresses, voters, strict=True)
            ]
            folder = str(self._replica_folder(place.name))
            text = voter_file(self.options, place, ports, peers, folder, self.discovery.address)
        else:
            others = [self._reach_at(v, self.network.replica_address(place.region, v)) for v in voters]
            text = observing_replica_file(self.options, place, ports, others)
        file.write_text(text, encoding="utf-8")
        planted = self.options.planted == "dropped-delta" and place.name == self.layout.replicas[0].name
        module = "stackrouter.fleet.scale.planted" if planted else "stackrouter.controlplane.process"
        # Proposed policies are validated against this configuration.
        environ = {"GW_CONFIG": str(self.folder / f"{BASELINE}.json")}
        return Child(place.name, ["-m", module, str(file)], environ, self.folder)

    def _dial_address(self, dialer: ReplicaPlace, listener: ReplicaPlace) -> str:
        """The address at which a voter dials another one if it differs from the listening address, otherwise
        an empty string. The Raft library connects from the address that sorts higher, as text, to the
        lower."""
        dialer_port, listener_port = (
            self.replica_ports[dialer.name].peer,
            self.replica_ports[listener.name].peer,
        )
        if f"127.0.0.1:{dialer_port}" <= f"127.0.0.1:{listener_port}":
            return ""
        address = self.network.peer_address(dialer, listener)
        return "" if address == f"127.0.0.1:{listener_port}" else address

    def _make_real(self, real: RealPlace, position: int) -> Child:
        replicas = [self._reach_at(p, self.network.real_address(real, p)) for p in self.layout.replicas]
        file = self.folder / f"{real.name}.txtpb"
        file.write_text(gateway_file(self.options, real, replicas), encoding="utf-8")
        return self._make_gateway(real.name, position, {"GW_EDGE": str(file)})

    def _make_gateway(self, name: str, position: int, environ: dict[str, str]) -> Child:
        listen, admin = self._ports.allocate(), self._ports.allocate()
        self.admin_ports[name] = admin
        file = self.folder / f"{name}.json"
        known = self.discovery.listing()
        config = gateway_config(self.options, name, position, listen, admin, self.discovery.address, known)
        file.write_text(config, encoding="utf-8")
        return Child(name, ["-m", "stackrouter"], environ | {"GW_CONFIG": str(file)}, self.folder)

    def _make_hollow(self, place: HollowPlace, number: int) -> HollowChild:
        replicas = [
            self._reach_at(p, self.network.replica_address(place.region, p)) for p in self.layout.replicas
        ]
        setup = HollowSetup(
            gateways=list(place.gateways),
            region=place.region,
            replicas=replicas,
            touch_ms=self.options.touch_ms,
            drift_ms=drift_ms(self.options),
            seed=self.options.seed * 1000 + number,
            early=place.gateways[:1] if self.options.planted == "early-version" and number == 0 else (),
        )
        file = self.folder / f"{place.name}.json"
        file.write_text(json.dumps(asdict(setup)), encoding="utf-8")

        def on_report(report: Report) -> None:
            self._on_report(place.name, report)

        return HollowChild(
            place.name, ["-m", "stackrouter.fleet.scale.hollow", str(file)], self.folder, on_report
        )

    def _reach_at(self, place: ReplicaPlace, address: str) -> Reach:
        return Reach(place.name, address, place.region)
