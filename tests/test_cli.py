"""The command line, the operator's file, and what a start without it must not load."""

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

from stackrouter.edge.load import load_apart, parse
from stackrouter.errors import EdgeError

ROOT = Path(__file__).parent.parent


def run(*words: str, environ: dict[str, str] | None = None) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "stackrouter.cli.main", *words]
    clean = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
    return subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env=clean | (environ or {}),
        check=False,
    )


VOTER = (
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
        (f'{VOTER} control {{ listen: "h:2" admin: "h:3" }}', "control.discovery: must be set"),
        (
            f'{VOTER} control {{ listen: "h:2" replica {{ name: "b" address: "h:4" region: "r" }} }}',
            "control.replica: must not be set where coordination is enabled",
        ),
        (
            f'{VOTER} control {{ listen: "h:2" admin: "h:3" discovery: "h:4" touch_ms: 3000 }}',
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
def test_errors_in_the_operators_file_name_the_place_and_what_is_allowed(text: str, error: str) -> None:
    with pytest.raises(EdgeError) as caught:
        parse(text, "edge.txtpb")
    assert str(caught.value).startswith("edge.txtpb: ") and error in str(caught.value)
    assert "\n" not in str(caught.value)


def test_the_files_that_the_operators_page_shows_can_be_used() -> None:
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


def test_the_shipped_file_can_be_used_and_check_says_so() -> None:
    assert load_apart(ROOT / "deploy" / "edge.txtpb").accounts.enabled
    done = run("check", "deploy/edge.txtpb", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["on"] == ["accounts"]


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
        done = run(*words)
        assert done.returncode == 2 and done.stdout == "", words
        assert done.stderr.startswith("stackrouter: SR-") and done.stderr.count("\n") == 1, done.stderr


def test_a_door_that_is_no_members_is_named_not_believed() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        door = "{}:{}".format(*server.getsockname())

        def stranger() -> None:
            sock, _ = server.accept()
            with sock:
                sock.recv(256)
                sock.sendall(b'SUCCESS {"version": "newest"}\n')

        threading.Thread(target=stranger, daemon=True).start()
        done = run("policy", "status", "--door", door)
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    assert done.stderr.startswith(f"stackrouter: SR-INPUT-DOOR: {door}: no policy status: ")


def test_explain_says_what_a_code_means_and_what_to_do() -> None:
    done = run("explain", "sr-discovery-silent")
    assert (
        done.returncode == 0 and "was not answered in time" in done.stdout and "drain no nodes" in done.stdout
    )
    assert len(json.loads(run("explain", "--json").stdout)) > 40
    assert run("explain", "SR-NONE").returncode == 2


@pytest.mark.parametrize(
    ("environ", "error"),
    [
        ({"GW_SFTP": "x.toml"}, "GW_SFTP: is no more"),
        ({"GW_EDGE": "/none/edge.txtpb"}, "/none/edge.txtpb: No such file"),
    ],
)
def test_a_start_with_a_file_that_cannot_be_used_says_why(
    tmp_path: Path, environ: dict[str, str], error: str
) -> None:
    from tests.exchange import SETTINGS

    config = tmp_path / "config.json"
    told = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    config.write_text(json.dumps(told))
    told_by = {**os.environ, "GW_CONFIG": str(config), **environ}
    command = [sys.executable, "-m", "stackrouter"]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=30, env=told_by, check=False
    )
    assert done.returncode == 2 and error in done.stderr and done.stderr.count("\n") == 1


OPTIONAL_PARTS = ("accounts", "trace", "edge", "cli", "coord", "controlplane", "fleet", "model")


def test_the_platforms_start_imports_nothing_that_is_off() -> None:
    off = "google pydantic zstandard structlog hdrh typer rich jinja2 annotated_types pysyncobj".split()
    off += [f"stackrouter.{part}" for part in OPTIONAL_PARTS]
    code = f"import sys, stackrouter.__main__; print([m for m in {off} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


@pytest.mark.parametrize(
    "schema",
    [
        "stackrouter/trace/facts.proto",
        "stackrouter/edge/edge.proto",
        "stackrouter/controlplane/frames.proto",
    ],
)
def test_generated_code_is_current(schema: str, tmp_path: Path) -> None:
    made = [sys.executable, "-m", "grpc_tools.protoc", "-I", ".", f"--python_out={tmp_path}"]
    subprocess.run([*made, f"--pyi_out={tmp_path}", schema], cwd=ROOT, check=True)
    for end in ("_pb2.py", "_pb2.pyi"):
        name = schema.replace(".proto", end)
        assert (tmp_path / name).read_text() == (ROOT / name).read_text()


def test_a_trace_of_the_model_is_reported_shown_and_cut(tmp_path: Path) -> None:
    trace, part, page = tmp_path / "t.trace", tmp_path / "part.trace", tmp_path / "t.html"
    done = run("model", "run", "--seed", "8", "--noisy", "writes", "--seconds", "6", "--trace", str(trace))
    noisy = json.loads(done.stdout)["noisy"]
    assert noisy.encode() in trace.read_bytes() or done.returncode == 0
    done = run("report", "latency", str(trace), "--json", "--html", str(page))
    found = json.loads(done.stdout)
    assert done.returncode == 0 and found["causes"][0]["volume"] == noisy
    assert {"causes", "pairs", "node_us", "unattributed_us", "sketch_error_us"} <= set(found)
    text = page.read_text()
    assert noisy in text and text.count("<svg") == 4 and "http-equiv" not in text and "<script" not in text
    assert run("trace", "cut", str(trace), "-o", str(part), "--since", "1", "--until", "3").returncode == 0
    shown = json.loads(run("trace", "show", str(part), "--json").stdout)
    assert len(shown["runs"]) == 3 and all(row["seconds"] <= 2 for row in shown["runs"])
    part.write_bytes(trace.read_bytes()[:-5000])
    done = run("trace", "show", str(part))
    assert done.returncode == 1 and "the file ends within a block" in done.stdout


def test_the_demo_plays_ends_and_its_traces_name_the_noisy_volume(tmp_path: Path) -> None:
    done = run("demo", "--seconds", "12", "--noisy", "priority", "--json", "--trace", str(tmp_path))
    assert done.returncode == 0, done.stderr
    found = json.loads(done.stdout)
    assert found["exits"] == [0, 0] and sum(row["served"] for row in found["volumes"]) > 500
    traces = sorted(str(path) for path in tmp_path.glob("*.trace"))
    done = run("report", "latency", *traces, "--json")
    assert done.returncode == 0, done.stderr
    report = json.loads(done.stdout)
    assert report["causes"][0]["volume"] == found["noisy"] and report["gateways"] == ["g1", "g2"]


def test_the_operators_file_is_read_in_place_where_fork_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    # The mass bench's clock refuses fork with ENOSYS; the file must still be read, whole.
    def refused() -> int:
        raise OSError(errno.ENOSYS, "fork refused")

    monkeypatch.setattr(os, "fork", refused)
    edge = load_apart(ROOT / "deploy" / "edge.txtpb")
    assert edge == parse((ROOT / "deploy" / "edge.txtpb").read_text(), "edge.txtpb")


def test_the_table_of_bench_accounts_fits_80_columns() -> None:
    # Given room, rich lays the table out at its natural width; on 80 columns it would fold cells instead.
    done = run("bench", "accounts", "--adds", "1000", "--repeats", "1", environ={"COLUMNS": "200"})
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert len(lines) >= 7, done.stdout
    assert max(len(line.rstrip()) for line in lines) <= 80, done.stdout
