"""The command line and the binary as an operator uses them."""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import anyio
import pytest

from lycheetide.cli._quarantines import format_entry, list_or_lift
from lycheetide.fleet import FleetBuilder, print_fleet
from lycheetide.platform import QUARANTINE_TOPIC
from lycheetide.quarantine import QuarantineTable, encode_entries, hash_part
from standins.local import find_port
from standins.store import Store

ROOT = Path(__file__).resolve().parents[3]
BINARY = ROOT / "dist" / "lycheetide"

BROKEN_SETTINGS = """\
[node]
name = Entry One
region = munster
failure_domain = cork-a
[listen]
caller_address = localhost:80
peer_address = 127.0.0.1:9001
operator_address = 127.0.0.1:99999
[platform]
log_url = ftp://10.0.0.9
hosts_url = http://10.0.0.9
[membership]
heartbeats = 3
"""


def run(*arguments, program=(sys.executable, "-m", "lycheetide")):
    """Run the command line and return its exit code and output."""
    return subprocess.run(
        [*program, *arguments], capture_output=True, text=True, check=False, cwd=ROOT
    )


def write_settings(folder, **ports):
    lines = ["[node]", "name = n1", "region = r", "failure_domain = d", "[listen]"]
    lines += [
        f"{key} = 127.0.0.1:{find_port()}"
        for key in ("caller_address", "peer_address", "operator_address")
    ]
    url = f"http://127.0.0.1:{find_port()}"
    lines += ["[platform]", f"log_url = {url}", f"hosts_url = {url}"]
    path = folder / "node.ini"
    path.write_text("\n".join(lines))
    return path


def test_check_reports_all_five_errors_with_their_lines(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(BROKEN_SETTINGS)
    result = run("check", str(path))
    assert result.returncode == 2
    lines = result.stderr.splitlines()
    assert lines[-1] == "5 findings"
    for place in (":2: [node] name", ":6: [listen] caller_address",
                  ":8: [listen] operator_address", ":10: [platform] log_url",
                  ":13: [membership] heartbeats"):  # fmt: skip
        assert any(place in line for line in lines), place


def test_check_accepts_good_settings(tmp_path):
    result = run("check", str(write_settings(tmp_path)))
    assert (result.returncode, result.stderr) == (0, "")


def test_check_reports_all_errors_of_a_configuration(tmp_path):
    builder = FleetBuilder()
    builder.add_model("assistant")
    builder.add_failure_domain("cork-a", region="munster")
    builder.add_class("quote")
    document = json.loads(print_fleet(builder))
    document["classes"][0]["aging_s"] = -1.0
    document["failure_domains"][0]["state"] = "sideways"
    document["gates"] = []
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(document, indent=1))
    result = run("check", str(path))
    assert result.returncode == 2
    assert "3 findings" in result.stderr
    assert "[classes/quote] aging_s: got -1.0" in result.stderr


def test_missing_file_and_unreachable_node_have_different_exit_codes(tmp_path):
    assert run("check", str(tmp_path / "none.ini")).returncode == 2
    gone = run("status", "--node", f"127.0.0.1:{find_port()}")
    assert gone.returncode == 1
    assert "did not answer" in gone.stdout + gone.stderr


def test_reader_that_closes_the_pipe_early_causes_no_traceback(tmp_path):
    """Guards against a traceback where output goes to ``head``."""
    lines = ['{"time": "2026-01-10 05:08:01,000", "message": "Relay: A request ended.",'
             f' "node": "n1", "request": "r{number}", "outcome": "answered.500",'
             f' "route": "r{number}"}}\n' for number in range(2_000)]  # fmt: skip
    log = tmp_path / "n1.log"
    log.write_text("".join(lines))
    program = subprocess.Popen(
        [sys.executable, "-m", "lycheetide", "losses", "--json", str(log)],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, cwd=ROOT,
    )  # fmt: skip
    assert program.stdout is not None
    assert program.stderr is not None
    program.stdout.read(10)
    program.stdout.close()
    assert program.stderr.read() == b""
    assert program.wait() == 0


def test_all_addresses_in_use_are_reported(tmp_path):
    path = write_settings(tmp_path)
    listeners = []
    for line in path.read_text().splitlines():
        if "_address" in line and "operator" not in line:
            listener = socket.create_server(("127.0.0.1", int(line.split(":")[1])))
            listeners.append(listener)
    result = run("node", "--settings", str(path))
    for listener in listeners:
        listener.close()
    assert result.returncode == 2
    assert result.stderr.count("Address already in use") == 2


@pytest.mark.skipif(not BINARY.exists(), reason="make binary builds it first")
def test_binary_starts_no_process_and_unpacks_no_files(tmp_path):
    """Hosts have no disks, and processes must not start other processes."""
    version = run("--version", program=[str(BINARY)])
    assert version.stdout.strip() == run("--version").stdout.strip()
    before = set(Path("/tmp").iterdir())
    environment = dict(os.environ, TMPDIR=str(tmp_path / "none"))
    process = subprocess.Popen(
        [str(BINARY), "node", "--settings", str(write_settings(tmp_path))],
        stderr=subprocess.DEVNULL, cwd=tmp_path, env=environment,
    )  # fmt: skip
    try:
        time.sleep(4.0)
        assert process.poll() is None
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
        maps = Path(f"/proc/{process.pid}/maps").read_text()
    finally:
        process.terminate()
        process.wait(20)
    assert children == ""
    assert "memfd:grpc/_cython/cygrpc" in maps
    assert "site-packages" not in maps
    assert [p.name for p in tmp_path.iterdir()] == ["node.ini"]
    unpacked = set(Path("/tmp").iterdir()) - before
    assert not [p for p in unpacked if p.name.startswith(("_MEI", "shiv", ".shiv"))]


def test_an_operator_lists_quarantines_and_lifts_one():
    """Guards against a blamed part that an operator can neither see nor lift."""
    entry = QuarantineTable().impose([hash_part("models", "a")], crashes=3, now_s=0.0)

    async def list_by_prefix():
        store = Store()
        async with store.server.run():
            store.put(QUARANTINE_TOPIC, entry.name, encode_entries([entry]))
            for prefix in ("", "no such", entry.name[:8], ""):
                rows = await list_or_lift(store.address, prefix)
                yield [format_entry(row).split()[1] for row in rows]

    async def collect():
        return [states async for states in list_by_prefix()]

    assert anyio.run(collect) == [["imposed"], [], ["lifted"], ["lifted"]]
    done = run("quarantines", "--store", f"127.0.0.1:{find_port()}")
    assert done.returncode == 1
