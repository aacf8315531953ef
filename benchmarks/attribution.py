"""Delay that the accounts charge to the noisy volume, as a ratio to the delay that it created, by seed.

    python benchmarks/attribution.py --seeds 40 [--first 100] [--jobs 4] [--kinds basic,writes]

Delay created: the latency of the other volumes' requests with the noise minus that without it.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Iterator
from multiprocessing import Pool

from stackrouter.accounts.report import UsualRates, account_for
from stackrouter.core import facts
from stackrouter.model.fleet import simulate
from stackrouter.model.traffic import Noisy, settings_for


def measure_seed(task: tuple[Noisy, int]) -> tuple[bool, float, float, float]:
    """Whether the noisy volume ranks first, its charge over the delay created, that delay in seconds, and the
    largest share of all delay that is charged to one volume."""
    noisy, seed = task
    recorded: list[tuple[int, facts.Fact]] = []
    subscribers = [lambda fact, g=g: recorded.append((g, fact)) for g in range(3)]
    noisy_run = simulate(seed, noisy, subscribers=subscribers)
    settings = settings_for(3, 9, seed)
    rates = [plan.usual_units_per_s for plan in settings.plans]
    usual = UsualRates(
        (("basic", rates[0]), ("priority", rates[1])), ("match-read", "turn-write"), settings.max_units
    )

    def stream() -> Iterator[tuple[int, facts.Fact]]:
        return iter(recorded)

    accounts = account_for(usual, stream)
    [((volume, _), largest), *_] = accounts.causes.largest(1)
    total_us = accounts.causes.total + accounts.node_us + accounts.own_us + accounts.unattributed_us
    if noisy_run.noisy is None:
        return False, 0.0, 0.0, largest.us / total_us
    quiet_run = simulate(seed, noisy, with_noise=False)
    created_us = sum(
        us - quiet_run.latency_us[v] for v, us in noisy_run.latency_us.items() if v != noisy_run.noisy
    )
    charged_us = sum(s.us for (v, _), s in accounts.causes.items() if v == noisy_run.noisy)
    return volume == noisy_run.noisy, charged_us / created_us, created_us / 1e6, largest.us / total_us


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=100)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--kinds", default="basic,priority,writes,none")
    args = parser.parse_args()
    for kind in map(Noisy, args.kinds.split(",")):
        seeds = range(args.first, args.first + args.seeds)
        with Pool(args.jobs) as pool:
            rows = pool.map(measure_seed, [(kind, seed) for seed in seeds])
        if kind is Noisy.NONE:
            print(f"none      largest share of all delay: {max(row[3] for row in rows):.2f}", flush=True)
            continue
        ratios = sorted(row[1] for row in rows)
        inside = sum(0.9 <= ratio <= 1.2 for ratio in ratios)
        outside = [
            f"{seed}: {row[1]:.2f} of {row[2]:.1f} s"
            for seed, row in zip(seeds, rows, strict=True)
            if not 0.9 <= row[1] <= 1.2
        ]
        print(
            f"{kind.value:9} first {sum(row[0] for row in rows)}/{len(rows)}"
            f"  within 0.9 to 1.2 {inside}/{len(rows)}"
            f"  median {statistics.median(ratios):.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f})"
            f"  outside: {'; '.join(outside) or 'none'}",
            flush=True,
        )


if __name__ == "__main__":
    main()
