"""The adapter to the bench simulator: its protocol, unknown and malformed input; and the README's example."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
CONF = {
    "Balancers": 2,
    "Position": 1,
    "Profiles": [{"AimUs": 300000, "HardLimitUs": 2000000, "Effect": "safe", "Unheard": 1, "KeyTtlUs": None}],
    "Grades": [{"Shares": 1.0, "CeilingRate": None}],
    "FamilyInfo": {"MeanUnits": 2.0, "MaxUnits": 8},
    "Caps": {"MaxAttempts": 3},
    "StepUs": 2000,
}
HELLO = ["Hello", 4, 11, CONF]
LIST = ["Registry", 4, 2, 1, [["10.0.0.1:1", 0, 0, 0, 1, 1, None]]]
ASK = ["Ask", 4, "r-a", 0, 0, "91f03b7c55d20a64", 240000, "2b8e6401d9f37c10", 2, 0, 1, 1]


def run(*lines: object) -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "rackseam.benchlink"],
        input=text, capture_output=True, text=True, cwd=ROOT, timeout=30, check=False,
    )  # fmt: skip


def replies(done: subprocess.CompletedProcess[str]) -> list[list[object]]:
    return [json.loads(line) for line in done.stdout.splitlines()]


def test_a_request_is_sent_and_every_batch_is_answered() -> None:
    done = run(["Sync", 5], ["Flush"], ["Sync", 1000], HELLO, LIST, ASK, ["Flush"])
    assert done.returncode == 0, done.stderr
    received = replies(done)
    assert received[0] == ["Finished"]
    assert ["PassOn", 4, "r-a", "10.0.0.1:1", 240000] in received
    assert received[-1] == ["Finished"]


def test_unknown_events_keys_reports_and_outcomes_are_tolerated() -> None:
    response = [
        "Response",
        4,
        "r-a",
        True,
        3,
        0,
        86,
        "novel",
        "10.0.0.1:1",
        18500,
        {"zeal": 3, "cpu": "high"},
        "extra",
    ]
    done = run(
        ["Sync", 1000],
        HELLO,
        LIST,
        ["Novelty", 4, {"a": 1}],
        ASK,
        ["Flush"],
        ["Sync", 9000],
        response,
        ["Flush"],
    )
    assert done.returncode == 0, done.stderr
    assert sum(reply == ["Finished"] for reply in replies(done)) == 2


@pytest.mark.parametrize(
    "bad",
    [
        "{not json",
        {"a": 1},
        [],
        ["Ask", 4, "r-a"],
        ["Ask", 4, 7, 0, 0, "", 1, "", 2, 0, 1, 1],
        ["Ask", 4, "r-a", 0, 0, "", 1000, "", float("nan"), 0, 1, 1],
        ["Bell", 9, "x"],
    ],
)
def test_malformed_input_ends_the_adapter_with_one_line_on_stderr(bad: object) -> None:
    done = run(["Sync", 1000], HELLO, LIST, bad, ["Flush"])
    assert done.returncode != 0
    assert done.stdout == ""
    assert len(done.stderr.splitlines()) == 1


def test_an_instance_may_end_and_start_again_within_a_batch() -> None:
    done = run(["Sync", 1000], HELLO, LIST, ["Teardown", 4], HELLO, LIST, ASK, ["Flush"])
    assert done.returncode == 0, done.stderr
    assert sum(reply[0] == "PassOn" for reply in replies(done)) == 1


def test_an_exception_in_the_decision_module_is_reported() -> None:
    ask = ["Ask", 4, "r-a", 0, 7, "91", 240000, "2b", 2, 0, 1, 1]
    received = replies(run(["Sync", 1000], HELLO, LIST, ask, ["Flush"]))
    assert received[0][:2] == ["Bug", 4] and "plan" in str(received[0][2])


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text().split("<!-- example -->")[1]
    code = text.split("```python")[1].split("```")[0]
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True, timeout=30)
