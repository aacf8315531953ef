"""The gateway's configuration: the variables GW_* and the JSON file that GW_CONFIG names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from rackseam.benchlink import parse_settings
from rackseam.interface import Settings
from stackrouter.errors import (
    AddressError,
    ConfigFileError,
    ConfigKeyError,
    ConfigValueError,
    RetuneError,
    UnsetError,
    VariableError,
)
from stackrouter.ops.config_shape import Shape, shape_of
from stackrouter.ops.retune import check

RESERVED_SOCKETS = 32  # descriptors reserved for the log, the event loop, listeners and discovery
CLIENT_SHARE = 0.6  # share of the remaining descriptors for clients; the others are for nodes
OPEN_REQUEST_BYTES = 128 * 1024  # memory of an open request: its body and its answer
OPEN_REQUEST_SHARE = 0.5  # share of the memory that bounds the number of open requests
BASE_PROCESS_BYTES = 24 << 20  # memory of the process without requests
# Shares of the memory above BASE_PROCESS_BYTES. The rest is for connections and for copies that last for one
# step: an answer while it is parsed, blocks that the allocator has not returned yet.
REQUEST_SHARE = 0.25  # requests over 4 KiB while they are read, and their bodies while they are open
USUAL_ANSWER_SHARE = 0.2  # answers over 4 KiB and up to core.memory.MAX_USUAL_ANSWER_BYTES
LARGE_ANSWER_SHARE = 0.3  # larger answers
MIN_ACCOUNT_BYTES = 1 << 20  # however small the memory is, some requests and answers of 64 KiB are let in


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration as the gateway uses it. Times are microseconds, sizes bytes."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    settings: Settings
    known: dict[str, Any]
    classes: dict[str, int]
    plans: dict[str, int]
    zones: list[str]
    kinds: list[str]
    shards: int  # number of shards, which are numbered from 0; 0: not stated
    limits: dict[str, Any]
    max_open: int
    request_bytes: int
    usual_answer_bytes: int
    large_answer_bytes: int
    connect_timeout_us: int
    keepalive_us: int
    client_sockets: int
    node_sockets: int
    listen_fd: int | None = None  # inherited listening socket for clients, kept by the platform at upgrades
    admin: tuple[str, int] | None = None  # address of the admin port
    shape: Shape | None = None  # of the file, whose keys a file that replaces it must have
    writes_stated: bool = True  # FamilyInfo.ClassWrites has a flag for each class of Profiles


PLACEHOLDER_ADDRESS = "0.0.0.0:0"  # for files that must have an address that is never used


def address_of(text: Any, name: str) -> tuple[str, int]:
    """Parses ADDRESS:PORT. Raises AddressError with `name` as its key."""
    host, _, port = str(text or "").rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise AddressError(f"not an address: {text!r}", key=name)
    return host, int(port)


def descriptor_of(text: str | None) -> int | None:
    """Parses GW_LISTEN_FD: the number of an inherited descriptor; unset or empty: None."""
    if not text:
        return None
    if not text.isdigit():
        raise VariableError(f"not a descriptor: {text!r}", key="GW_LISTEN_FD")
    return int(text)


def load(
    environ: Mapping[str, str] = os.environ, strict: bool = False, in_force: Shape | None = None
) -> Config:
    """Reads the configuration. `strict`: with the stricter checks for a reload (ops.retune.check);
    `in_force`: the shape of the file that it replaces. Raises ConfigError."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise UnsetError("is not set", key="GW_CONFIG")
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        raw = json.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigFileError(error, file=f"GW_CONFIG: {path}") from None
    try:
        if strict:
            check(raw, text, in_force)
        return _config(raw, environ)
    except RetuneError as error:
        raise error.in_file(f"GW_CONFIG: {path}") from None
    except KeyError as error:
        raise ConfigKeyError("key is missing", file=f"GW_CONFIG: {path}", key=str(error.args[0])) from None
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigValueError(f"{type(error).__name__}: {error}", file=f"GW_CONFIG: {path}") from None


def reload(in_force: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file again. Its discovery address replaces GW_DISCOVERY, which is from the start."""
    environ = {name: value for name, value in environ.items() if name != "GW_DISCOVERY"}
    return load(environ, strict=True, in_force=in_force.shape)


def with_policy(text: str, environ: Mapping[str, str] = os.environ) -> Config:
    """This gateway's own file with the settings of a policy for many gateways, except `Position`, its own
    place among them. Raises ConfigError with the key; plans and their order cannot change while running."""
    try:
        with open(environ.get("GW_CONFIG") or "", encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigValueError(error, file="policy") from None
    return _under_policy(raw, text, environ)


def check_policy(text: str, newest: str = "") -> None:
    """Checks a policy without a gateway's own file, as a control replica has to. `newest`: the previous
    version, whose plans must not change; empty if there is none. Raises ConfigError as `with_policy` does."""
    base = newest or text
    try:
        raw = {
            "listen": PLACEHOLDER_ADDRESS,
            "discovery": PLACEHOLDER_ADDRESS,
            "settings": json.loads(base)["settings"],
        }
    except KeyError as error:
        raise ConfigKeyError("key is missing", file="policy", key=str(error.args[0])) from None
    except (TypeError, ValueError) as error:
        raise ConfigValueError(error, file="policy") from None
    _under_policy(raw, text, {})


def _under_policy(raw: dict[str, Any], text: str, environ: Mapping[str, str]) -> Config:
    """Replaces the settings in the content of a gateway's file (`raw`) by those of a policy (`text`)."""
    try:
        policy = json.loads(text)
        check(policy, text, _shape_for_policy(raw))
        plans = [[g["Name"] for g in s["Grades"]] for s in (raw["settings"], policy["settings"])]
        if plans[0] != plans[1]:
            raise ConfigValueError(
                f"must name the plans that the gateways started with, {plans[0]}", file="policy", key="Grades"
            )
        raw["settings"] = policy["settings"] | {"Position": raw["settings"].get("Position", 0)}
        return _config(raw, environ)
    except RetuneError as error:
        raise error.in_file("policy") from None
    except KeyError as error:
        raise ConfigKeyError("key is missing", file="policy", key=str(error.args[0])) from None
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigValueError(error, file="policy") from None


def _shape_for_policy(raw: dict[str, Any]) -> Shape:
    """The shape that a policy must have: the settings of the file, but for the gateway's own position."""
    settings = {key: value for key, value in raw["settings"].items() if key != "Position"}
    return shape_of({"settings": settings})


def _config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    conf = raw["settings"]
    caps, limits = conf.get("Caps") or {}, raw.get("limits") or {}
    sockets = max(8, int(limits.get("sockets") or 1024) - RESERVED_SOCKETS)
    memory = int(limits.get("memory_mb") or 192) << 20

    def share(of: float) -> int:
        return max(MIN_ACCOUNT_BYTES, int(max(0, memory - BASE_PROCESS_BYTES) * of))

    return Config(
        name=str(environ.get("GW_NAME") or raw.get("name") or "gateway"),
        listen=address_of(environ.get("GW_LISTEN") or raw.get("listen"), "GW_LISTEN"),
        listen_fd=descriptor_of(environ.get("GW_LISTEN_FD")),
        admin=address_of(admin_address, "GW_ADMIN")
        if (admin_address := environ.get("GW_ADMIN") or raw.get("admin"))
        else None,
        discovery=address_of(environ.get("GW_DISCOVERY") or raw.get("discovery"), "GW_DISCOVERY"),
        # On real connections a refusal can always carry a retry delay, whatever the simulator supports.
        settings=replace(
            parse_settings(conf, int(str(raw.get("seed") or "0"), 16)),
            retry_after_most_us=int(caps.get("MaxRetryAfterUs") or 0),
        ),
        known=raw.get("known") or {"index": 0, "snapshot": True, "endpoints": []},
        classes={p["Name"]: i for i, p in enumerate(conf["Profiles"])},
        plans={g["Name"]: i for i, g in enumerate(conf["Grades"])},
        zones=list(conf.get("Zones") or []),
        kinds=list(conf.get("Kinds") or []),
        shards=int((conf.get("FamilyInfo") or {}).get("Shards") or 0),
        writes_stated=len((conf.get("FamilyInfo") or {}).get("ClassWrites") or []) == len(conf["Profiles"]),
        limits=limits,
        max_open=min(
            int(caps.get("MaxOpen") or 1 << 30), int(memory * OPEN_REQUEST_SHARE) // OPEN_REQUEST_BYTES
        ),
        request_bytes=share(REQUEST_SHARE),
        usual_answer_bytes=share(USUAL_ANSWER_SHARE),
        large_answer_bytes=share(LARGE_ANSWER_SHARE),
        connect_timeout_us=int(caps.get("ConnectTimeoutUs") or 250_000),
        keepalive_us=int(caps.get("KeepaliveUs") or 15_000_000),
        client_sockets=int(sockets * CLIENT_SHARE),
        node_sockets=sockets - int(sockets * CLIENT_SHARE),
        shape=shape_of(raw),
    )
