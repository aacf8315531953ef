"""Settings of the SFTP front, from the operator's file: listening address, classes, and volumes by path."""

from __future__ import annotations

import posixpath
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackrouter.config import Config, address_of
from stackrouter.errors import EdgeNameError

if TYPE_CHECKING:
    from stackrouter.edge.config import Sftp


@dataclass(frozen=True, slots=True)
class Volume:
    """A volume and the path prefix that it serves. `plan`: index into the settings' plans."""

    prefix: str
    volume: str
    plan: int
    shard: int
    gateways: int


@dataclass(frozen=True, slots=True)
class SftpConfig:
    """Checked settings; classes are indexes into the settings' classes."""

    listen: tuple[str, int]
    node_port: int
    read_class: int
    write_class: int
    read_wait_us: int
    write_wait_us: int
    window_us: int
    unit_bytes: int
    volumes: tuple[Volume, ...]  # longest prefix first

    def volume_of(self, path: str) -> Volume | None:
        """The volume with the longest prefix that contains the path."""
        for volume in self.volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        return None

    def names_below(self, path: str) -> list[str]:
        """Names of the directories that lead from `path` down to volumes; empty if there are none."""
        base = path.rstrip("/") + "/"
        below = {
            each.prefix[len(base) :].split("/")[0] for each in self.volumes if each.prefix.startswith(base)
        }
        return sorted(name for name in below if name)


def settings(config: Config, sftp: Sftp) -> SftpConfig | None:
    """Check the operator's settings; None if the front is disabled. Raises ConfigError for an unknown class
    or plan.
    """
    if not sftp.enabled:
        return None
    read = _index(config.classes, sftp.read_class, "sftp.read_class")
    write = _index(config.classes, sftp.write_class, "sftp.write_class")
    classes = config.settings.classes
    volumes = [
        Volume(
            prefix=posixpath.normpath("/" + v.prefix.lstrip("/")),
            volume=v.volume,
            plan=_index(config.plans, v.plan, f"sftp.volume[{i}].plan"),
            shard=v.shard,
            gateways=v.gateways,
        )
        for i, v in enumerate(sftp.volume)
    ]
    return SftpConfig(
        listen=address_of(sftp.listen, "sftp.listen"),
        node_port=sftp.node_port,
        read_class=read,
        write_class=write,
        read_wait_us=1000 * (sftp.read_wait_ms or classes[read].deadline_us // 1000),
        write_wait_us=1000 * (sftp.write_wait_ms or classes[write].deadline_us // 1000),
        window_us=classes[write].key_ttl_us,
        unit_bytes=sftp.unit_bytes,
        volumes=tuple(sorted(volumes, key=lambda v: -len(v.prefix))),
    )


def _index(known: Mapping[str, int], name: str, field: str) -> int:
    if name not in known:
        raise EdgeNameError(f"must be one of {', '.join(known)}, not {name!r}", key=field)
    return known[name]
