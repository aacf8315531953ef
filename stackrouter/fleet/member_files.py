"""Addresses of the members of a harness, and the configuration files that they start with."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from stackrouter.fleet.backend import Backend
from stackrouter.fleet.links import LinkMesh
from stackrouter.fleet.options import HarnessOptions
from stackrouter.fleet.ports import Ports


@dataclass(frozen=True, slots=True)
class MemberPlace:
    """A member's name and where it listens on loopback: `address` for the other members, `client_port` for
    clients, `admin_port` for its admin socket. Its files are in `folder`."""

    name: str
    address: str
    client_port: int
    admin_port: int
    folder: Path

    @property
    def config(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def operators_file(self) -> Path:
        return self.folder / f"{self.name}.txtpb"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def journal(self) -> Path:
        """The file in which the Raft library keeps this member's log."""
        return self.folder / f"{self.address.replace(':', '_')}.journal"


def member_places(count: int, ports: Ports, folder: Path) -> list[MemberPlace]:
    """Allocates places for `count` members, named g1, g2 and so on."""
    addresses = [f"127.0.0.1:{ports.allocate()}" for _ in range(count)]
    client_ports = [ports.allocate() for _ in range(count)]
    admin_ports = [ports.allocate() for _ in range(count)]
    return [
        MemberPlace(f"g{i + 1}", addresses[i], client_ports[i], admin_ports[i], folder) for i in range(count)
    ]


class MemberFiles:
    """Writes the configuration and the operator's file of each member."""

    def __init__(self, options: HarnessOptions, places: Sequence[MemberPlace], backend: Backend,
                 links: LinkMesh, receiver: str, clock_ppm: Sequence[int]) -> None:  # fmt: skip
        """`receiver`: the address that actions are sent to; `clock_ppm`: per member, by how many parts per
        million its lease clock runs fast."""
        self._options, self._places, self._backend = options, places, backend
        self._links, self._receiver, self._clock_ppm = links, receiver, clock_ppm

    def write(self, i: int) -> None:
        """Writes both files of member i."""
        place = self._places[i]
        place.config.write_text(self._config(i))
        place.operators_file.write_text(self._coordination(i))

    def _config(self, i: int) -> str:
        place, backend = self._places[i], self._backend
        config = {
            "name": place.name,
            "listen": f"127.0.0.1:{place.client_port}",
            "discovery": backend.discovery.address,
            "seed": f"{self._options.seed * 64 + i:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": backend.listing(),
            "admin": f"127.0.0.1:{place.admin_port}",
            "settings": {**backend.settings(), "Position": i},
        }
        return json.dumps(config)

    def _coordination(self, i: int) -> str:
        options = self._options
        peers = "".join(self._peer(i, j) for j in range(len(self._places)))
        policy = f"enabled: {str(options.policy).lower()}"
        return f"""coordination {{ enabled: true folder: "{self._places[i].folder}" ttl_ms: {options.ttl_ms}
  max_drift_ms: {options.drift_ms} election_ms: {options.election_ms}
  policy {{ {policy} touch_ms: {options.touch_ms} after_ms: {options.after_ms} }}
{peers}  drill {{ receiver: "{self._receiver}" every_ms: {options.every_ms} work_ms: {options.work_ms}
    clock_ppm: {self._clock_ppm[i]} }} }}
"""

    def _peer(self, i: int, j: int) -> str:
        place, dial = self._places[j], self._links.dial(i, j)
        dial_field = "" if dial is None else f' dial: "{dial}"'
        return f'  peer {{ name: "{place.name}" address: "{place.address}"{dial_field} }}\n'
