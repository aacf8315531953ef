"""Checks before a scale run whether the machine has enough descriptors, memory, ports and processes for
it."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

from stackrouter.edge.config import ReplicaLimits
from stackrouter.errors import ScaleLimitError
from stackrouter.fleet.scale.options import ScaleOptions, hollow_processes

MAX_PROCESSES = 300
SPARE_DESCRIPTORS = 128  # per process, for its log, journal, event loop and listeners
MAX_MEMORY_RATIO = 0.5  # of the machine's memory
HARNESS_MIB = 120.0
REPLICA_MIB = 90.0
REAL_MIB = 60.0
HOLLOW_PROCESS_MIB = 60.0
HOLLOW_MIB = 0.25  # per hollow gateway: observer, connection and greenlet
NODE_MIB = 0.003  # per node list entry and process that stores the list
PORTS_PER_REPLICA, PORTS_PER_REAL = 4, 3


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """The limits of the machine: descriptors per process, memory in MiB, ports for outgoing connections."""

    descriptors: int
    memory_mib: float
    free_mib: float
    outgoing_ports: int


@dataclass(frozen=True, slots=True)
class Needs:
    """The peak resources of a run. `descriptors` is for the process that needs the most."""

    processes: int
    descriptors: int
    memory_mib: float
    outgoing_ports: int


def needs(options: ScaleOptions) -> Needs:
    """Estimate the peak resources of a run."""
    hollow = hollow_processes(options)
    gateways = options.hollow + options.real
    # One replica may serve all gateways if only one is left in a region or a region loses all of its own.
    replica_connections = gateways
    process_connections = -(-options.hollow // hollow)
    proxied_connections = 2 * (gateways if options.faults else options.real) + 4 * hollow
    processes_with_list = 1 + options.control + options.real + 1
    memory = (
        HARNESS_MIB
        + REPLICA_MIB * options.control
        + REAL_MIB * (options.real + 1)
        + HOLLOW_PROCESS_MIB * hollow
        + HOLLOW_MIB * options.hollow
        + NODE_MIB * options.nodes * processes_with_list
    )
    return Needs(
        processes=1 + options.control + options.real + 1 + hollow,
        descriptors=max(replica_connections, process_connections, proxied_connections) + SPARE_DESCRIPTORS,
        memory_mib=memory,
        outgoing_ports=2 * gateways + options.control**2,
    )


def check_limits(options: ScaleOptions, machine: MachineLimits) -> Needs:
    """Return the resources that the run needs. Raises ScaleLimitError, which names the option or limit to
    change, if the machine does not have them."""
    need = needs(options)
    if need.processes > MAX_PROCESSES:
        what = f"{need.processes} needed, {MAX_PROCESSES} allowed: lower --processes, --real or --control"
        raise ScaleLimitError(what, key="processes")
    gateways, remaining = options.hollow + options.real, max(1, options.control - 1)
    if gateways > remaining * ReplicaLimits().gateways:
        what = (
            f"{gateways} gateways exceed the capacity of {remaining} replicas (one may fail): raise --control"
        )
        raise ScaleLimitError(what, key="replicas")
    if need.descriptors > machine.descriptors:
        what = (
            f"{need.descriptors} needed in one process, {machine.descriptors} allowed:"
            " raise `ulimit -n` or lower --hollow"
        )
        raise ScaleLimitError(what, key="descriptors")
    allowed = min(machine.free_mib, MAX_MEMORY_RATIO * machine.memory_mib)
    if need.memory_mib > allowed:
        what = (
            f"{need.memory_mib:.0f} MiB needed, {allowed:.0f} MiB allowed"
            f" ({MAX_MEMORY_RATIO:.0%} of the machine's memory, or what is free):"
            " lower --hollow or --processes"
        )
        raise ScaleLimitError(what, key="memory")
    if need.outgoing_ports > machine.outgoing_ports:
        what = (
            f"{need.outgoing_ports} needed for outgoing connections, {machine.outgoing_ports} available:"
            " widen net.ipv4.ip_local_port_range or lower --hollow"
        )
        raise ScaleLimitError(what, key="ports")
    return need


def machine_limits() -> MachineLimits:
    """Read the current limits of this machine. The soft limit on descriptors applies; it is not raised
    here."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    memory = _memory_kib()
    first, last = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii").split()
    return MachineLimits(
        descriptors=descriptors,
        memory_mib=memory["MemTotal"] / 1024,
        free_mib=memory["MemAvailable"] / 1024,
        outgoing_ports=int(last) - int(first) + 1,
    )


def _memory_kib() -> dict[str, int]:
    lines = Path("/proc/meminfo").read_text(encoding="ascii").splitlines()
    return {name: int(rest.split()[0]) for name, _, rest in (line.partition(":") for line in lines)}
