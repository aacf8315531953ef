"""Upgrade and fault cases for the processes of one gateway on an inherited socket."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.upgrade_rig import RATE_UNITS_S, VOLUMES, GatewayProcess, UpgradeRig

ONE_SECOND_UNITS = RATE_UNITS_S * len(VOLUMES)
UPGRADES = 3


@dataclass(frozen=True, slots=True)
class CaseResult:
    """Outcome of a case.

    `lowest_level`: the lowest level of any volume's store, in units; `share_in_overlap`: units served while
    two processes were ready, as a share of what the limits allow; `violations`: of limits, as counted by the
    processes.
    """

    lowest_level: float
    share_in_overlap: float
    answers: frozenset[bytes]
    crashes: tuple[int, ...]
    violations: int


@dataclass(slots=True)
class _Overlaps:
    """Intervals in which two processes were ready."""

    rig: UpgradeRig
    intervals: list[tuple[float, float]]

    def served_share(self) -> float:
        """Units that arrived in the intervals, as a share of what the limits allow."""
        total_s = sum(ended - began for began, ended in self.intervals)
        if not total_s:
            return 1.0
        return (
            sum(self.rig.served_share(began, ended) * (ended - began) for began, ended in self.intervals)
            / total_s
        )


def _run_case(upgrade: Callable[[UpgradeRig, GatewayProcess, Random, _Overlaps], GatewayProcess],
              seed: int, upgrades: int = UPGRADES) -> CaseResult:  # fmt: skip
    random = Random(seed)
    with UpgradeRig(seed) as rig:
        overlaps = _Overlaps(rig, [])
        serving = rig.start_ready()
        assert rig.node.wait_for_units(2 * ONE_SECOND_UNITS), "no traffic reached the node"
        for _ in range(upgrades):
            serving = upgrade(rig, serving, random, overlaps)
            rig.node.wait_for_units(random.uniform(0.3, 0.8) * ONE_SECOND_UNITS)
        crashes = tuple(p.program.returncode for p in rig.processes if p.program.poll() not in (None, 0, -9))
        rig.clients.stop()
        violations = sum("SR-RULE-BROKEN: limit" in line for p in rig.processes for line in p.lines)
        answers = frozenset(rig.clients.answers)
        return CaseResult(rig.lowest_level(), overlaps.served_share(), answers, crashes, violations)


def _serve_for_a_while(rig: UpgradeRig, random: Random) -> None:
    rig.node.wait_for_units(random.uniform(0.3, 1.0) * ONE_SECOND_UNITS)


def upgrades_in_a_row(seed: int) -> CaseResult:
    """A new process serves beside the old one for a while, then the old one receives SIGTERM."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        new = rig.start_ready()
        began = time.monotonic()
        _serve_for_a_while(rig, random)
        overlaps.intervals.append((began, time.monotonic()))
        old.end()
        return new

    return _run_case(upgrade, seed)


def overlapping_upgrades(seed: int) -> CaseResult:
    """The next process starts while the one before the last still finishes requests: three run at once."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        new = rig.start_ready()
        _serve_for_a_while(rig, random)
        old.signal(signal.SIGTERM)
        return new

    return _run_case(upgrade, seed)


def old_process_stopped(seed: int) -> CaseResult:
    """The old process is suspended from before the new one's start until some time after it."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        old.signal(signal.SIGSTOP)
        new = rig.start_ready()
        rig.node.wait_for_units(random.uniform(0.3, 1.5) * ONE_SECOND_UNITS, patience_s=2.0)
        old.signal(signal.SIGCONT)
        _serve_for_a_while(rig, random)
        old.end()
        return new

    return _run_case(upgrade, seed)


def new_process_stopped(seed: int) -> CaseResult:
    """The new process is suspended for a while as soon as it is ready."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        new = rig.start_ready()
        new.signal(signal.SIGSTOP)
        rig.node.wait_for_units(random.uniform(0.3, 1.5) * ONE_SECOND_UNITS, patience_s=2.0)
        new.signal(signal.SIGCONT)
        _serve_for_a_while(rig, random)
        old.end()
        return new

    return _run_case(upgrade, seed)


def one_killed_in_the_overlap(seed: int) -> CaseResult:
    """One of the two processes is killed while both serve."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        new = rig.start_ready()
        _serve_for_a_while(rig, random)
        victim, survivor = random.sample((old, new), 2)
        victim.signal(signal.SIGKILL)
        victim.program.wait()
        return survivor

    return _run_case(upgrade, seed)


def new_process_dies_in_its_start(seed: int) -> CaseResult:
    """The new process is killed before it is ready, and another one is started."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        failed = rig.start()
        rig.node.wait_for_units(random.uniform(0.05, 0.5) * ONE_SECOND_UNITS)
        failed.signal(signal.SIGKILL)
        new = rig.start_ready()
        _serve_for_a_while(rig, random)
        old.end()
        return new

    return _run_case(upgrade, seed)


def restarts_after_kills(seed: int) -> CaseResult:
    """One process at a time: it is killed and the next one is started at once."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        old.signal(signal.SIGKILL)
        old.program.wait()
        return rig.start_ready()

    return _run_case(upgrade, seed, upgrades=5)


def _with_folder(damage: Callable[[Path, Random], Path | None]) -> Callable[[int], CaseResult]:
    def case(seed: int) -> CaseResult:
        def upgrade(
            rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps
        ) -> GatewayProcess:
            folder = damage(rig.folder, random)
            new = rig.start_ready(folder)
            _serve_for_a_while(rig, random)
            old.end()
            return new

        return _run_case(upgrade, seed)

    return case


def _limit_logs(folder: Path) -> list[Path]:
    return list(folder.glob("stackrouter-limits-*.log"))


def _other_folder(folder: Path, random: Random) -> Path:
    other = folder.parent / f"other-{random.getrandbits(32):08x}"
    other.mkdir()
    return other


def _missing_folder(folder: Path, random: Random) -> Path:
    return folder.parent / "missing"


def _remove_logs(folder: Path, random: Random) -> None:
    for path in _limit_logs(folder):
        path.unlink()


def _replace_logs_by_folders(folder: Path, random: Random) -> None:
    for path in _limit_logs(folder):
        if path.is_file():
            path.unlink()
            path.mkdir()


def _append_garbage(folder: Path, random: Random) -> None:
    for path in _limit_logs(folder):
        if path.is_file():
            with path.open("ab") as file:
                file.write(random.randbytes(random.randrange(1, 200)))


another_folder = _with_folder(_other_folder)
missing_folder = _with_folder(_missing_folder)
log_removed = _with_folder(_remove_logs)
log_replaced_by_a_folder = _with_folder(_replace_logs_by_folders)
log_garbled = _with_folder(_append_garbage)


def log_cut_in_the_overlap(seed: int) -> CaseResult:
    """The log is truncated or overwritten while both processes use it."""

    def upgrade(rig: UpgradeRig, old: GatewayProcess, random: Random, overlaps: _Overlaps) -> GatewayProcess:
        new = rig.start_ready()
        _serve_for_a_while(rig, random)
        for path in _limit_logs(rig.folder):
            with path.open("r+b") as file:
                if random.random() < 0.5:
                    file.truncate(random.randrange(0, 3) * 22)
                else:
                    file.write(random.randbytes(60))
                    file.truncate(random.randrange(100, 1000))
        _serve_for_a_while(rig, random)
        old.end()
        return new

    return _run_case(upgrade, seed)


CASES: dict[str, Callable[[int], CaseResult]] = {
    "upgrades_in_a_row": upgrades_in_a_row,
    "overlapping_upgrades": overlapping_upgrades,
    "old_process_stopped": old_process_stopped,
    "new_process_stopped": new_process_stopped,
    "one_killed_in_the_overlap": one_killed_in_the_overlap,
    "new_process_dies_in_its_start": new_process_dies_in_its_start,
    "restarts_after_kills": restarts_after_kills,
    "another_folder": another_folder,
    "missing_folder": missing_folder,
    "log_removed": log_removed,
    "log_replaced_by_a_folder": log_replaced_by_a_folder,
    "log_garbled": log_garbled,
    "log_cut_in_the_overlap": log_cut_in_the_overlap,
}
