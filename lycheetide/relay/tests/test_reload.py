"""Settings that change while a node runs."""

import anyio
import pytest

from lycheetide.relay import _reload
from standins.relay_deployment import RelayDeployment

pytestmark = pytest.mark.anyio

TEMPLATE = """
[node]
name = {name}
region = munster
failure_domain = cork-a
[relay]
caller_address = {caller}
readiness_address = 127.0.0.1:4
peer_address = 127.0.0.1:5
store_address = 127.0.0.1:6
[retries]
retry_ratio = {ratio}
"""


@pytest.fixture
def anyio_backend():
    return "asyncio"


def write(path, *, ratio, name="entry-9", caller="127.0.0.1:3"):
    path.write_text(TEMPLATE.format(ratio=ratio, name=name, caller=caller))


async def test_a_changed_file_cuts_nothing(tmp_path, monkeypatch):
    """The file changes without a signal while a stream runs."""
    monkeypatch.setattr(_reload, "LOOK_S", 0.05)
    path = tmp_path / "node.ini"
    write(path, ratio=0.2)
    async with RelayDeployment() as fleet:
        relay = fleet.relays[0]
        relay.settings_path = str(path)
        caller_address = relay.settings.caller_address
        for replica in fleet.replicas:
            replica.pause_s = 0.1
        async with anyio.create_task_group() as group:
            group.start_soon(_reload.watch_settings, relay)
            answers = []

            async def ask():
                answers.append(await fleet.stream())

            async with anyio.create_task_group() as asking:
                asking.start_soon(ask)
                await anyio.sleep(0.1)
                write(path, ratio=0.4, caller="127.0.0.1:9999")
            group.cancel_scope.cancel()
        assert relay.settings.retry_ratio == 0.4
        assert relay.settings.caller_address == caller_address
    assert answers[0].content.count(b"id:") == 4


async def test_a_file_cut_within_a_character_changes_nothing(tmp_path):
    """Guards against a settings file that ends a node when it is read again."""
    path = tmp_path / "node.ini"
    path.write_bytes("[relay]\nnode = caf\u00e9".encode()[:-1])
    async with RelayDeployment() as fleet:
        _reload.reload_settings(fleet.relays[0], str(path))
        assert fleet.relays[0].counters.counts["settings.broken"] == 1
        assert _reload.read_text(str(path)).startswith("[relay]")


@pytest.mark.parametrize("text", ["", "nonsense", "[relay]\nidle_s = never\n"])
async def test_a_broken_file_changes_nothing(tmp_path, text):
    """An operator saves an incomplete file; a node that ended would cut clients off."""
    path = tmp_path / "node.ini"
    path.write_text(text)
    async with RelayDeployment() as fleet:
        before = fleet.relays[0].settings
        _reload.reload_settings(fleet.relays[0], str(path))
        _reload.reload_settings(fleet.relays[0], str(tmp_path / "missing.ini"))
        assert fleet.relays[0].settings == before
        assert fleet.relays[0].counters.counts["settings.broken"] == 2
        assert (await fleet.look()).status_code == 200
