"""Tests of the command line, of parsing the operator's file, and of the imports of a start without one."""

from __future__ import annotations

import errno
import json
import os
import re
import socket
import subprocess
import sys
import threading
from pathlib import Path

import pytest

from stackrouter.edge.load import load_in_child_process, parse
from stackrouter.errors import EdgeError

ROOT = Path(__file__).parent.parent


def run_cli(*words: str, environ: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    """Runs the command line in a child process, without GW_ variables of the caller."""
    command = [sys.executable, "-m", "stackrouter.cli.main", *words]
    clean_environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    return subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env=clean_environ | (environ or {}),
        check=False,
    )


VOTER_TEXT = (
    'coordination { enabled: true folder: "f" peer { name: "a" address: "h:1" } policy { enabled: true } }'
)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("sftp {", "line 1"),
        (
            "sftp { lisen: 1 }",
            'line 1: column 8: Message type "stackrouter.edge.Sftp" has no field named "lisen"',
        ),
        ("trace { most_mb: 0 }", "trace.most_mb: input should be greater than or equal to 1, not 0"),
        ('log { format: "xml" }', "log.format: input should be 'plain', 'text' or 'json', not 'xml'"),
        ("trace { enabled: true }", "trace.file: must be set where trace is enabled"),
        ('sftp { volume { prefix: "/a" plan: "p" } }', "sftp.volume[0].volume: field required"),
        ("coordination { enabled: true }", "coordination.peer: must be set where store is raft"),
        (
            'coordination { enabled: true folder: "f" peer { name: "a" address: "here" } }',
            "coordination.peer[0].address: not an address: 'here'",
        ),
        (
            "coordination { enabled: true max_drift_ms: 1500 }",
            "coordination.max_drift_ms: must be less than half of ttl_ms (3000), not 1500",
        ),
        (
            'control { enabled: true region: "r" } coordination { enabled: true folder: "f" '
            'peer { name: "a" address: "h:1" } }',
            "control.enabled: a gateway that observes replicas is no member, so coordination must be off",
        ),
        ('control { enabled: true region: "r" }', "control.replica: must be set"),
        (
            'control { enabled: true listen: "h:1" }',
            "control.listen: is for a replica, and must not be set where enabled is",
        ),
        (
            'control { enabled: true region: "r" replica { name: "a" address: "h:1" region: "r" } '
            'replica { name: "a" address: "h:2" region: "r" } }',
            "control.replica: names and addresses must differ",
        ),
        (
            'control { enabled: true region: "r" replica { name: "a" address: "there" region: "r" } }',
            "control.replica[0].address: not an address: 'there'",
        ),
        (
            'control { enabled: true region: "r" replica { name: "a" address: "h:1" region: "r" } '
            "touch_ms: 1000 max_drift_ms: 500 }",
            "control.max_drift_ms: must be less than half of touch_ms (1000), not 500",
        ),
        ("control { limits { gateways: 0 } }", "control.limits.gateways: input should be greater than"),
        (f'{VOTER_TEXT} control {{ listen: "h:2" admin: "h:3" }}', "control.discovery: must be set"),
        (
            f'{VOTER_TEXT} control {{ listen: "h:2" replica {{ name: "b" address: "h:4" region: "r" }} }}',
            "control.replica: must not be set where coordination is enabled",
        ),
        (
            f'{VOTER_TEXT} control {{ listen: "h:2" admin: "h:3" discovery: "h:4" touch_ms: 3000 }}',
            "control.touch_ms: must be less than coordination.policy.after_ms (3000)",
        ),
        ('control { listen: "h:2" admin: "h:3" }', "control.name: must be set"),
        (
            'control { name: "l" listen: "h:2" admin: "h:3" discovery: "h:4" }',
            "control.discovery: only a voting replica asks discovery",
        ),
        (
            'control { name: "l" listen: "h:2" admin: "h:3" '
            'replica { name: "l" address: "h:4" region: "r" } }',
            "control.replica: must be other replicas than this one (l)",
        ),
        (
            'sftp { volume { prefix: "/a" plan: "p" volume: "v" shard: -1 } }',
            "sftp.volume[0].shard: input should be",
        ),
    ],
)
def test_errors_in_the_operators_file_name_the_field_and_the_valid_values(text: str, error: str) -> None:
    """Guards against error messages that span several lines or omit the file, the field or its constraint."""
    with pytest.raises(EdgeError) as caught:
        parse(text, "edge.txtpb")
    assert str(caught.value).startswith("edge.txtpb: ") and error in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_example_files_in_the_operators_documentation_are_valid() -> None:
    """Guards against examples in docs/operators/coordination.md that do not parse after a schema change."""
    page = (ROOT / "docs" / "operators" / "coordination.md").read_text()
    blocks = [
        b
        for b in re.findall(r"(?:(?:    .*)?\n)+", page)
        if re.search(r"^    (control|coordination) \{", b, re.M)
    ]
    shown = [parse(block, "the page") for block in blocks]
    kinds = [(edge.coordination.enabled, edge.control.enabled, bool(edge.control.listen)) for edge in shown]
    member, voter, observing, gateway = (
        (True, False, False),
        (True, False, True),
        (False, False, True),
        (False, True, False),
    )
    assert kinds == [member, voter, observing, gateway]


def test_the_shipped_file_is_valid_and_check_reports_it() -> None:
    assert load_in_child_process(ROOT / "deploy" / "edge.txtpb").accounts.enabled
    completed = run_cli("check", "deploy/edge.txtpb", "--json")
    assert completed.returncode == 0 and json.loads(completed.stdout)["on"] == ["accounts"]


def test_bad_input_is_one_line_and_exit_2(tmp_path: Path) -> None:
    (tmp_path / "bad").write_text("sftp { enabled: true }")
    for words in (
        ("check", str(tmp_path / "bad")),
        ("check", str(tmp_path / "none")),
        ("report", "latency", str(tmp_path / "bad")),
        ("model", "run", "--noisy", "loud"),
        ("trace", "show", str(tmp_path / "none")),
        ("demo", "--noisy", "loud"),
        ("fleet", "run", "--nemesis", "flood"),
        ("fleet", "run", "--members", "9-3"),
    ):
        completed = run_cli(*words)
        assert completed.returncode == 2 and completed.stdout == "", words
        assert (
            completed.stderr.startswith("stackrouter: SR-") and completed.stderr.count("\n") == 1
        ), completed.stderr


def test_an_answer_that_is_no_policy_status_is_rejected_with_the_address() -> None:
    """Guards against a traceback or a trusted answer where another service listens on the admin address."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = "{}:{}".format(*server.getsockname())

        def answer_once() -> None:
            sock, _ = server.accept()
            with sock:
                sock.recv(256)
                sock.sendall(b'SUCCESS {"version": "newest"}\n')

        threading.Thread(target=answer_once, daemon=True).start()
        completed = run_cli("policy", "status", "--door", address)
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1, completed.stderr
    assert completed.stderr.startswith(f"stackrouter: SR-INPUT-DOOR: {address}: no policy status: ")


def test_explain_prints_the_meaning_of_a_code_and_the_remedy() -> None:
    completed = run_cli("explain", "sr-discovery-silent")
    assert (
        completed.returncode == 0
        and "was not answered in time" in completed.stdout
        and "drain no nodes" in completed.stdout
    )
    assert len(json.loads(run_cli("explain", "--json").stdout)) > 40
    assert run_cli("explain", "SR-NONE").returncode == 2


@pytest.mark.parametrize(
    ("environ", "error"),
    [
        ({"GW_SFTP": "x.toml"}, "GW_SFTP: is no longer"),
        ({"GW_EDGE": "/none/edge.txtpb"}, "/none/edge.txtpb: No such file"),
    ],
)
def test_a_start_with_an_unusable_file_prints_the_reason(
    tmp_path: Path, environ: dict[str, str], error: str
) -> None:
    from tests.exchange import SETTINGS

    config = tmp_path / "config.json"
    config_values = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    config.write_text(json.dumps(config_values))
    environment = {**os.environ, "GW_CONFIG": str(config), **environ}
    command = [sys.executable, "-m", "stackrouter"]
    completed = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=30, env=environment, check=False
    )
    assert completed.returncode == 2 and error in completed.stderr and completed.stderr.count("\n") == 1


OPTIONAL_PARTS = ("accounts", "trace", "edge", "cli", "coord", "controlplane", "fleet", "model")


def test_a_start_without_an_operators_file_imports_no_optional_module() -> None:
    """Guards against optional packages loaded by an import in a module that every start needs."""
    off = "google pydantic zstandard structlog hdrh typer rich jinja2 annotated_types pysyncobj".split()
    off += [f"stackrouter.{package}" for package in OPTIONAL_PARTS]
    code = f"import sys, stackrouter.__main__; print([m for m in {off} if m in sys.modules])"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "[]\n"


@pytest.mark.parametrize(
    "schema",
    [
        "stackrouter/trace/facts.proto",
        "stackrouter/edge/edge.proto",
        "stackrouter/controlplane/frames.proto",
    ],
)
def test_generated_code_is_current(schema: str, tmp_path: Path) -> None:
    """Guards against a changed .proto file whose Python code was not generated again."""
    protoc_command = [sys.executable, "-m", "grpc_tools.protoc", "-I", ".", f"--python_out={tmp_path}"]
    subprocess.run([*protoc_command, f"--pyi_out={tmp_path}", schema], cwd=ROOT, check=True)
    for suffix in ("_pb2.py", "_pb2.pyi"):
        name = schema.replace(".proto", suffix)
        assert (tmp_path / name).read_text() == (ROOT / name).read_text()


def test_report_show_and_cut_read_a_trace_of_the_simulation(tmp_path: Path) -> None:
    trace, part_file, page = tmp_path / "t.trace", tmp_path / "part.trace", tmp_path / "t.html"
    completed = run_cli(
        "model", "run", "--seed", "8", "--noisy", "writes", "--seconds", "6", "--trace", str(trace)
    )
    noisy = json.loads(completed.stdout)["noisy"]
    assert noisy.encode() in trace.read_bytes() or completed.returncode == 0
    completed = run_cli("report", "latency", str(trace), "--json", "--html", str(page))
    output = json.loads(completed.stdout)
    assert completed.returncode == 0 and output["causes"][0]["volume"] == noisy
    assert {"causes", "pairs", "node_us", "unattributed_us", "sketch_error_us"} <= set(output)
    text = page.read_text()
    assert noisy in text and text.count("<svg") == 4 and "http-equiv" not in text and "<script" not in text
    assert (
        run_cli("trace", "cut", str(trace), "-o", str(part_file), "--since", "1", "--until", "3").returncode
        == 0
    )
    shown = json.loads(run_cli("trace", "show", str(part_file), "--json").stdout)
    assert len(shown["runs"]) == 3 and all(row["seconds"] <= 2 for row in shown["runs"])
    part_file.write_bytes(trace.read_bytes()[:-5000])
    completed = run_cli("trace", "show", str(part_file))
    assert completed.returncode == 1 and "the file ends within a block" in completed.stdout


def test_the_demo_exits_cleanly_and_its_traces_identify_the_noisy_volume(tmp_path: Path) -> None:
    completed = run_cli("demo", "--seconds", "12", "--noisy", "priority", "--json", "--trace", str(tmp_path))
    assert completed.returncode == 0, completed.stderr
    output = json.loads(completed.stdout)
    assert output["exits"] == [0, 0] and sum(row["served"] for row in output["volumes"]) > 500
    traces = sorted(str(path) for path in tmp_path.glob("*.trace"))
    completed = run_cli("report", "latency", *traces, "--json")
    assert completed.returncode == 0, completed.stderr
    report = json.loads(completed.stdout)
    assert report["causes"][0]["volume"] == output["noisy"] and report["gateways"] == ["g1", "g2"]


def test_the_operators_file_is_read_in_process_if_fork_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    # Under the mass bench's clock, fork fails with ENOSYS; the file must still be read completely.
    def refused() -> int:
        raise OSError(errno.ENOSYS, "fork refused")

    monkeypatch.setattr(os, "fork", refused)
    edge = load_in_child_process(ROOT / "deploy" / "edge.txtpb")
    assert edge == parse((ROOT / "deploy" / "edge.txtpb").read_text(), "edge.txtpb")


def test_the_table_of_bench_accounts_fits_80_columns() -> None:
    # COLUMNS=200 makes rich use the table's natural width; with 80 columns it would wrap cells instead.
    completed = run_cli("bench", "accounts", "--adds", "1000", "--repeats", "1", environ={"COLUMNS": "200"})
    assert completed.returncode == 0, completed.stderr
    lines = completed.stdout.splitlines()
    assert len(lines) >= 7, completed.stdout
    assert max(len(line.rstrip()) for line in lines) <= 80, completed.stdout
