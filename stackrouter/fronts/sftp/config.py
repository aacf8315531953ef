"""The operator's file for the SFTP front: what it listens on, and which paths lie in which volume."""

from __future__ import annotations

import os
import posixpath
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stackrouter.config import Config, ConfigError, address_of

DEFAULT_FILE = Path(__file__).parents[3] / "deploy" / "sftp.toml"


@dataclass(frozen=True, slots=True)
class Volume:
    prefix: str
    volume: str
    plan: int
    shard: int
    gateways: int


@dataclass(frozen=True, slots=True)
class SftpConfig:
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
        for volume in self.volumes:
            if path == volume.prefix or path.startswith(volume.prefix.rstrip("/") + "/"):
                return volume
        return None

    def names_below(self, path: str) -> list[str]:
        """The next parts of prefixes below a path that lies above them; empty where there are none."""
        base = path.rstrip("/") + "/"
        below = {v.prefix[len(base) :].split("/")[0] for v in self.volumes if v.prefix.startswith(base)}
        return sorted(name for name in below if name)


def load(config: Config, environ: Mapping[str, str] = os.environ) -> SftpConfig | None:
    """None while the front is off: without the file, or with `enabled = false` in it."""
    path = Path(environ.get("GW_SFTP") or DEFAULT_FILE)
    if not path.exists():
        return None
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        return _read(raw, config) if raw.get("enabled") else None
    except (OSError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path.name}: {type(error).__name__}: {error}") from None


def _read(raw: dict[str, Any], config: Config) -> SftpConfig:
    def number(table: dict[str, Any], name: str, default: int, least: int) -> int:
        value = table.get(name, default)
        if not isinstance(value, int) or value < least:
            raise ValueError(f"{name}: must be a whole number, {least} or more, not {value!r}")
        return value

    read, write = config.classes[raw["read_class"]], config.classes[raw["write_class"]]
    classes = config.settings.classes
    volumes = [
        Volume(
            prefix=posixpath.normpath("/" + str(v["prefix"]).lstrip("/")),
            volume=str(v["volume"]),
            plan=config.plans[v["plan"]],
            shard=number(v, "shard", -1, 0),
            gateways=number(v, "gateways", 1, 1),
        )
        for v in raw["volume"]
    ]
    return SftpConfig(
        listen=address_of(raw["listen"], "listen"),
        node_port=number(raw, "node_port", 0, 0),
        read_class=read,
        write_class=write,
        read_wait_us=1000 * number(raw, "read_wait_ms", classes[read].deadline_us // 1000, 1),
        write_wait_us=1000 * number(raw, "write_wait_ms", classes[write].deadline_us // 1000, 1),
        window_us=classes[write].key_ttl_us,
        unit_bytes=number(raw, "unit_bytes", 8192, 1),
        volumes=tuple(sorted(volumes, key=lambda v: -len(v.prefix))),
    )
