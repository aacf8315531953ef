"""Whether this machine bears a scale run: descriptors, memory, ports and processes, looked at before it
starts."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

from stackrouter.edge.config import ReplicaLimits
from stackrouter.errors import ScaleLimitError
from stackrouter.fleet.scale.options import ScaleOptions, hollow_processes

MOST_PROCESSES = 300
SPARE_DESCRIPTORS = 128  # of a process: its log, journal, loop, listeners
MEMORY_PART = 0.5  # of the machine's memory that a run may take
HARNESS_MIB = 120.0
REPLICA_MIB = 90.0
REAL_MIB = 60.0
HOLLOW_PROCESS_MIB = 60.0
HOLLOW_MIB = 0.25  # a hollow gateway: its observer, its connection and greenlet
NODE_MIB = 0.003  # an entry of the list, in each process that keeps it
PORTS_A_REPLICA, PORTS_A_REAL = 4, 3


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """What the machine allows: descriptors of one process, memory in MiB, ports for outgoing connections."""

    descriptors: int
    memory_mib: float
    free_mib: float
    outgoing_ports: int


@dataclass(frozen=True, slots=True)
class Needs:
    """What a run takes at most; `descriptors` of the process that needs the most of them."""

    processes: int
    descriptors: int
    memory_mib: float
    outgoing_ports: int


def needs(options: ScaleOptions) -> Needs:
    """What this run takes at most."""
    hollow = hollow_processes(options)
    gateways = options.hollow + options.real
    # With one replica left to a whole region, or one region's replicas gone, a replica may serve them all.
    at_a_replica = gateways
    at_a_hollow = -(-options.hollow // hollow)
    through_the_harness = 2 * (gateways if options.faults else options.real) + 4 * hollow
    keep_the_list = 1 + options.control + options.real + 1
    memory = (
        HARNESS_MIB
        + REPLICA_MIB * options.control
        + REAL_MIB * (options.real + 1)
        + HOLLOW_PROCESS_MIB * hollow
        + HOLLOW_MIB * options.hollow
        + NODE_MIB * options.nodes * keep_the_list
    )
    return Needs(
        processes=1 + options.control + options.real + 1 + hollow,
        descriptors=max(at_a_replica, at_a_hollow, through_the_harness) + SPARE_DESCRIPTORS,
        memory_mib=memory,
        outgoing_ports=2 * gateways + options.control**2,
    )


def refuse_beyond(options: ScaleOptions, machine: MachineLimits) -> Needs:
    """What the run needs. ScaleLimitError: the machine does not bear it, with what to change."""
    need = needs(options)
    if need.processes > MOST_PROCESSES:
        what = (
            f"{need.processes} are needed, {MOST_PROCESSES} allowed: lower --processes, --real or --control"
        )
        raise ScaleLimitError(what, key="processes")
    gateways, left = options.hollow + options.real, max(1, options.control - 1)
    if gateways > left * ReplicaLimits().gateways:
        what = f"{gateways} gateways are more than {left} of them take (one may be gone): raise --control"
        raise ScaleLimitError(what, key="replicas")
    if need.descriptors > machine.descriptors:
        what = (
            f"{need.descriptors} are needed in one process, {machine.descriptors} allowed:"
            " raise `ulimit -n` or lower --hollow"
        )
        raise ScaleLimitError(what, key="descriptors")
    allowed = min(machine.free_mib, MEMORY_PART * machine.memory_mib)
    if need.memory_mib > allowed:
        what = (
            f"{need.memory_mib:.0f} MiB are needed, {allowed:.0f} allowed"
            f" ({MEMORY_PART:.0%} of the machine, as far as it is free): lower --hollow or --processes"
        )
        raise ScaleLimitError(what, key="memory")
    if need.outgoing_ports > machine.outgoing_ports:
        what = (
            f"{need.outgoing_ports} are needed for connections, {machine.outgoing_ports} there are:"
            " widen net.ipv4.ip_local_port_range or lower --hollow"
        )
        raise ScaleLimitError(what, key="ports")
    return need


def machine_limits() -> MachineLimits:
    """What this machine allows now. The soft limit on descriptors counts: nothing is raised here."""
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
