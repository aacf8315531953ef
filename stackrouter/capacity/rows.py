"""A row of the capacity page: a figure at the target with its source, budget and mechanism."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from stackrouter.capacity import targets
from stackrouter.capacity.estimate import Estimate, FigureGetter, estimate_from_runs, format_number
from stackrouter.capacity.scale import ScaleRun

NOT_MEASURED = "not measured"


class Mechanism(Enum):
    """How far the mechanism behind a figure is implemented."""

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
    def is_incomplete(self) -> bool:
        """Whether the mechanism is missing or only partly built."""
        return not self.mechanism.startswith(f"`{Mechanism.BUILT.value}`")


def row(what: str, estimate: Estimate | None, unit: str, mechanism: Mechanism, missing: str = "",
        budget: float | None = None, budget_unit: str = "") -> Row:  # fmt: skip
    """A row from an estimate; without an estimate the row says that it is not measured."""
    mechanism_text = f"`{mechanism.value}`" + (f": {missing}" if missing else "")
    budget_text = "" if budget is None else f"{format_number(budget)} {budget_unit or unit}".strip()
    if estimate is None:
        return Row(what, NOT_MEASURED, "", "", budget_text, False, mechanism_text)
    over = budget is not None and estimate.value > budget
    factor = "" if estimate.factor is None else f"x {format_number(estimate.factor)}"
    figure = f"{format_number(estimate.value)} {unit}".strip()
    return Row(what, figure, estimate.source, factor, budget_text, over, mechanism_text)


def computed(value: float, source: str) -> Estimate:
    """A figure computed from the target or from the program's constants, without a measurement."""
    return Estimate(value, source)


def estimate_at_target(runs: Sequence[ScaleRun], get_figure: FigureGetter) -> Estimate | None:
    """A figure at the target size, from the runs with the number of replicas that has the lowest
    extrapolation factor; of equals, the highest number."""
    best: Estimate | None = None
    for control in sorted({run.control for run in runs}):
        estimate = estimate_from_runs(runs, get_figure, targets.GATEWAYS, control)
        if estimate is not None and (best is None or (estimate.factor or 1.0) <= (best.factor or 1.0)):
            best = estimate
    return best
