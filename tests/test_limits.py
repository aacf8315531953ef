"""The parts of a limit never sum to more than it, for any split of requests, late figures and restarts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rackseam.interface import Send
from tests.gateway import LIMITED, LIMITED_PLAN, MS, Gateway, S

STEP = st.tuples(
    st.integers(0, 2),  # the gateway
    st.integers(0, 120),  # milliseconds since the step before
    st.floats(4.0, 8.0),  # units
    st.integers(0, 3),  # 0: that gateway restarts first
    st.floats(0.0, 60.0),  # units that an answer reports as served for others
)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(STEP, min_size=20, max_size=60))
def test_all_gateways_together_keep_the_limit(steps: list[tuple[int, int, float, int, float]]) -> None:
    gateways = [Gateway() for _ in range(3)]
    sizes: dict[str, float] = {}
    sends: list[tuple[int, float]] = []

    def collect(gateway: Gateway) -> None:
        sends.extend((t, sizes[a.request]) for t, a in gateway.log if isinstance(a, Send))
        gateway.log.clear()

    now = gateways[0].now
    not_restarted = {0, 1, 2}
    for number, (index, gap_ms, units, restart, elsewhere) in enumerate(steps):
        now += gap_ms * MS
        for gateway in gateways:
            gateway.wait(now - gateway.now)
        if restart == 0 and index in not_restarted:  # even right after spending; each gateway once
            not_restarted.remove(index)
            collect(gateways[index])
            gateways[index] = Gateway(now=now)
        gateway = gateways[index]
        sizes[f"q{number}"] = units
        gateway.arrive(plan=LIMITED_PLAN, units=units, gateways=3, name=f"q{number}")
        for request in [r for r in gateway.attempts if r in sizes]:
            gateway.answer(request, elsewhere=elsewhere)
            del gateway.attempts[request]
    for gateway in gateways:
        gateway.wait(S)
        collect(gateway)
    level, at = LIMITED.burst_units, 50 * S
    for t, units in sorted(sends):
        level = min(LIMITED.burst_units, level + (t - at) * LIMITED.limit_units_per_s / S)
        at, level = t, level - units
        assert level >= -LIMITED.tolerance_units - 1e-3
