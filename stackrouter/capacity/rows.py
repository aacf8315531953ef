"""A row of the capacity page: a figure at the target with its source, budget and mechanism."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, Pick, number, of_runs
from stackrouter.capacity.scale import ScaleRun

NOT_MEASURED = "not measured"


class Mechanism(Enum):
    """Whether what carries a figure is there."""

    BUILT = "built"
    PARTLY = "partly"
    MISSING = "missing"


BUILT, PARTLY, MISSING = Mechanism


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a role's table. `over`: the figure is over its budget."""

    what: str
    figure: str
    source: str
    extrapolated: str
    budget: str
    over: bool
    mechanism: str

    @property
    def lacks(self) -> bool:
        """Whether the mechanism is not there, or not whole."""
        return not self.mechanism.startswith(f"`{Mechanism.BUILT.value}`")


def row(what: str, estimate: Estimate | None, unit: str, mechanism: Mechanism, lacks: str = "",
        budget: float | None = None, budget_unit: str = "") -> Row:  # fmt: skip
    """A row from an estimate; None: its run is missing, and the row says so."""
    told = f"`{mechanism.value}`" + (f": {lacks}" if lacks else "")
    limit = "" if budget is None else f"{number(budget)} {budget_unit or unit}".strip()
    if estimate is None:
        return Row(what, NOT_MEASURED, "", "", limit, False, told)
    over = budget is not None and estimate.value > budget
    factor = "" if estimate.factor is None else f"x {number(estimate.factor)}"
    figure = f"{number(estimate.value)} {unit}".strip()
    return Row(what, figure, estimate.source, factor, limit, over, told)


def reckoned(value: float, how: str) -> Estimate:
    """A figure that follows from the target, or from constants of the program, alone."""
    return Estimate(value, how)


def at_target(runs: Sequence[ScaleRun], pick: Pick) -> Estimate | None:
    """At the target size, from the runs with most replicas that reach furthest."""
    found: Estimate | None = None
    for control in sorted({run.control for run in runs}):
        estimate = of_runs(runs, pick, targets.GATEWAYS, control)
        if estimate is not None and (found is None or (estimate.factor or 1.0) <= (found.factor or 1.0)):
            found = estimate
    return found
