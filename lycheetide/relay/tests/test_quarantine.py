"""Prompts with a part that crashes replicas are kept from the replicas."""

import random
import time
from dataclasses import dataclass, field

import anyio
import httpx
import pytest

from lycheetide import platform
from lycheetide.gossip import Life
from lycheetide.quarantine import CrashCheck, hash_parts
from lycheetide.relay._crash_reports import report_crash
from lycheetide.relay._quarantine import announce_entries, record_entries
from lycheetide.relay._quarantine_store import lift_quarantine, read_quarantines
from lycheetide.relay.tests.test_cold_limits import wait_for_peers
from standins.relay_deployment import (
    RelayDeployment,
    make_config,
    make_long_timeout_config,
)
from standins.replica import list_shared_parts

pytestmark = pytest.mark.anyio

CONTACT_S = 3.0
"""Time after the fifth crash from which on the rule counts requests."""
CRASHES = 5
MAX_LATE_REQUESTS = 3
BAD_PART = "bad0bad0"
SYSTEM_PART = "5e5e5e5e"
OTHER_PARTS = [f"{number:08x}" for number in range(0xA0, 0xA8)]
BAD_PER_S = 6.0
SOUND_PER_S = 16.0
LOAD_S = 9.5


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclass
class Load:
    """Callers of all nodes that send prompts for some seconds.

    Parameters
    ----------
    fleet : RelayDeployment
        The deployment.
    first_tries : list of (float, bool)
        When each sound request was first sent, and whether its answer began.
    """

    fleet: RelayDeployment
    draws: random.Random = field(default_factory=lambda: random.Random(7))
    first_tries: list = field(default_factory=list)

    def make_prefix(self, *parts):
        """Return a list of prompt parts that ends with a new one."""
        own = f"{self.draws.getrandbits(32):08x}"
        return ",".join(f"{part}:40" for part in (*parts, own))

    async def send(self, prefix):
        """Send a prompt to any node; tell whether its answer began and is complete."""
        relay = self.draws.randrange(len(self.fleet.relays))
        headers = {"lycheetide-prompt-prefix": prefix}
        try:
            response = await self.fleet.stream(relay=relay, **headers)
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def send_bad(self):
        """Send a prompt with the part, and repeat it once if it fails."""
        middle = self.draws.sample(OTHER_PARTS, self.draws.randrange(3))
        parts = [SYSTEM_PART, *middle, BAD_PART]
        self.draws.shuffle(parts)
        prefix = self.make_prefix(*parts)
        if not await self.send(prefix):
            await self.send(prefix)

    async def send_sound(self):
        """Send a prompt that shares its other parts with those that crash replicas."""
        sent_s = time.monotonic()
        prefix = self.make_prefix(SYSTEM_PART, self.draws.choice(OTHER_PARTS))
        self.first_tries.append((sent_s, await self.send(prefix)))

    async def run(self, send, per_s, seconds):
        """Send prompts at a rate, one after the other and without waiting."""
        until_s = time.monotonic() + seconds
        async with anyio.create_task_group() as group:
            while time.monotonic() < until_s:
                group.start_soon(send)
                await anyio.sleep(self.draws.expovariate(per_s))

    def served_share(self, since_s, until_s):
        """Return the share of sound first tries of a span that were answered."""
        tries = [is_ok for at_s, is_ok in self.first_tries if since_s <= at_s < until_s]
        assert len(tries) >= 20
        return sum(tries) / len(tries)


def list_bad_requests(fleet):
    """Return when each request with the part reached a replica, in order."""
    return sorted(
        at_s
        for replica in fleet.replicas
        for at_s, request in zip(replica.received_times, replica.received, strict=True)
        if BAD_PART in list_shared_parts(request)
    )


def list_crashes(fleet):
    """Return when replicas crashed, in order."""
    return sorted(at_s for one in fleet.replicas for at_s in one.crash_times)


async def count_late_requests(
    fleet, *, bad_s=LOAD_S, bad_per_s=BAD_PER_S, sound_per_s=SOUND_PER_S
):
    """Send sound prompts, then bad ones beside them.

    Returns
    -------
    crashes : int
        Number of replicas that crashed.
    late : int
        Bad requests that reached replicas later than ``CONTACT_S`` after the fifth.
    before, after : float
        Shares of sound first tries that were answered: before the bad ones, and from
        twice ``CONTACT_S`` after the fifth crash, or the last, on.
    """
    await wait_for_peers(fleet)
    load = Load(fleet)
    begun_s = time.monotonic()
    await load.run(load.send_sound, sound_per_s, 2.0)
    bad_from_s = time.monotonic()
    async with anyio.create_task_group() as group:
        group.start_soon(load.run, load.send_sound, sound_per_s, bad_s)
        group.start_soon(load.run, load.send_bad, bad_per_s, bad_s)
    ended_s = time.monotonic()
    crashes = list_crashes(fleet)
    assert crashes
    last_counted_s = crashes[min(CRASHES, len(crashes)) - 1]
    late = [
        at_s
        for at_s in list_bad_requests(fleet)
        if len(crashes) >= CRASHES and at_s > last_counted_s + CONTACT_S
    ]
    before = load.served_share(begun_s, bad_from_s)
    after = load.served_share(last_counted_s + 2 * CONTACT_S, ended_s)
    return len(crashes), len(late), before, after


async def test_a_part_that_crashes_replicas_reaches_few_after_five_crashes():
    """Guards against requests that carry a crash from replica to replica.

    The part comes with varying other parts, in any order, at any node; its callers
    repeat. Sound requests share the other parts and must go on.
    """
    async with RelayDeployment(
        relays=3, replicas=10, crash_part=BAD_PART, config=make_config()
    ) as fleet:
        crashes, late, before, after = await count_late_requests(fleet)
    assert late <= MAX_LATE_REQUESTS, f"{crashes} replicas crashed"
    assert after >= 0.5 * before


@pytest.mark.parametrize("moment", ["request", "first", "events", "last", "end", "any"])
async def test_a_part_that_crashes_replicas_later_in_the_answer_is_found(moment):
    """Guards against events, or a whole answer, that hide a crash which follows."""
    async with RelayDeployment(
        relays=3, replicas=10, crash_part=BAD_PART, crash_moment=moment,
        config=make_config(),
    ) as fleet:  # fmt: skip
        for replica in fleet.replicas:
            replica.crash_delay_s = 0.02
        crashes, late, before, after = await count_late_requests(fleet)
    assert late <= MAX_LATE_REQUESTS, f"{crashes} replicas crashed"
    assert after >= 0.5 * before


@pytest.mark.parametrize("moment", ["head", "any"])
async def test_a_part_whose_replicas_keep_an_open_address_is_found(moment):
    """Guards against crashes that no refused connection proves."""
    async with RelayDeployment(
        relays=3, replicas=10, crash_part=BAD_PART, crash_moment=moment,
        config=make_config(),
    ) as fleet:  # fmt: skip
        for replica in fleet.replicas:
            replica.crash_delay_s = 0.02
            replica.keeps_listening = True
        crashes, late, before, after = await count_late_requests(fleet)
    assert late <= MAX_LATE_REQUESTS, f"{crashes} replicas crashed"
    assert after >= 0.5 * before


def find_parts(*parts):
    """Return the hashes of some parts."""
    return hash_parts("models", parts)


def impose(relay, *parts):
    """Put parts into quarantine as if this node had found them at fault."""
    now_s = time.monotonic()
    entry = relay.quarantine.table.impose(find_parts(*parts), crashes=3, now_s=now_s)
    record_entries(relay, [entry], why="test")
    announce_entries(relay, [entry])


def is_known(relay, part=BAD_PART):
    """Tell whether a node keeps prompts with a part from replicas."""
    return relay.quarantine.table.find(find_parts(part)) is not None


def make_prefix(*parts):
    """Return the header that names the parts of a prompt, its own one last."""
    return {"lycheetide-prompt-prefix": ",".join(f"{one}:40" for one in parts)}


def count_stored(fleet):
    """Return the number of quarantines in the store."""
    return len(fleet.store.topic(platform.QUARANTINE_TOPIC).newest())


async def test_a_quarantined_prompt_is_refused_at_once_as_not_run():
    """Guards against prompts that wait, take memory or use up retries in vain."""
    async with RelayDeployment() as fleet:
        (relay,) = fleet.relays
        impose(relay, BAD_PART)
        prefix = make_prefix("aa", BAD_PART.upper(), "0b")
        response, looks = await fleet.count_looks(lambda: fleet.stream(**prefix))
        others = [
            await fleet.stream(**make_prefix("aa", "0b")),
            await fleet.stream(**make_prefix("aa", BAD_PART)),
            await fleet.stream(),
        ]
    assert response.status_code == 503
    assert float(response.headers["retry-after"]) >= CONTACT_S
    assert looks == 0
    assert [one.status_code for one in others] == [200, 200, 200]
    assert len(fleet.received()) == len(others)
    assert relay.counters.counts["quarantine.refused"] == 1


@pytest.mark.parametrize("down", ["", "busy", "silent"])
async def test_a_node_that_starts_later_knows_before_it_serves(down):
    """Guards against a new node that lets the part through, in an outage too."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        impose(fleet.relays[0], BAD_PART)
        await fleet.wait_for(lambda: is_known(fleet.relays[1]))
        fleet.store.down = down
        late = await fleet.start_relay(wait=False)
        late.peers.add_address(
            fleet.relays[0].settings.peer_address, now_s=time.monotonic()
        )
        await fleet.wait_for(lambda: late.is_ready(now_s=time.monotonic()))
        assert is_known(late)


async def test_the_part_stays_known_after_all_nodes_have_lost_power():
    """Guards against knowledge that only the nodes' memory holds."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        impose(fleet.relays[1], BAD_PART)
        await fleet.wait_for(lambda: count_stored(fleet))
        for stop in fleet.stop_events:
            stop.set()
        await fleet.wait_for(lambda: fleet.running == 0, timeout_s=10.0)
        relay = await fleet.start_relay(wait=False)
        await fleet.wait_for(lambda: relay.is_ready(now_s=time.monotonic()))
        assert is_known(relay)
        response = await fleet.stream(relay=2, **make_prefix(BAD_PART, "0b"))
    assert response.status_code == 503


async def test_a_verdict_in_an_outage_of_the_store_is_written_after_it():
    async with RelayDeployment() as fleet:
        fleet.store.down = "busy"
        impose(fleet.relays[0], BAD_PART)
        await anyio.sleep(0.5)
        assert not count_stored(fleet)
        fleet.store.down = ""
        await fleet.wait_for(lambda: count_stored(fleet) == 1)


async def test_a_node_that_missed_the_message_learns_it_from_a_heartbeat():
    """Guards against lost datagrams, and nodes that were frozen or cut off."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        first, other = fleet.relays
        first.quarantine.table.impose(
            find_parts(BAD_PART), crashes=3, now_s=time.monotonic()
        )
        await fleet.wait_for(lambda: is_known(other), timeout_s=2.0)


async def test_a_prompt_under_way_is_cancelled_before_a_replica_writes():
    """Guards against requests that crash replicas after their part is known."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        for replica in fleet.replicas:
            replica.default_step = "silent"
        responses = []

        async def send():
            prefix = make_prefix(BAD_PART, "0b")
            responses.append(await fleet.stream(relay=1, **prefix))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await fleet.wait_for(fleet.runs)
            impose(fleet.relays[0], BAD_PART)
            told_s = time.monotonic()
        took_s = time.monotonic() - told_s
        await fleet.wait_for(lambda: any(r.cancelled_s for r in fleet.replicas))
    assert responses[0].status_code == 502
    assert took_s < 0.5
    assert len(fleet.runs()) == 1


async def test_a_stream_that_has_begun_goes_on_and_clears_its_parts():
    """Guards against a wrong verdict: a part that is written on is sound."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        for replica in fleet.replicas:
            replica.events, replica.pause_s = 20, 0.05
        async with fleet.open_stream(relay=1, **make_prefix("aa", "0b")) as response:
            lines = response.aiter_lines()
            await anext(lines)
            await fleet.wait_for(
                lambda: any(
                    call.is_written
                    for call, _ in fleet.relays[1].quarantine.running.values()
                )
            )
            impose(fleet.relays[0], "aa", BAD_PART)
            rest = [line async for line in lines]
        assert any("token 20" in line for line in rest)
        await fleet.wait_for(lambda: is_known(fleet.relays[1], "aa") is False)
        response = await fleet.stream(relay=0, **make_prefix("aa", "0b"))
    assert response.status_code == 200


async def test_a_written_part_is_lifted_at_all_nodes():
    """Guards against a verdict that outlives the proof that it was wrong."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        first, other = fleet.relays
        impose(first, "aa", BAD_PART)
        await fleet.wait_for(other.quarantine.table.list_active)
        assert (await fleet.stream(relay=1, **make_prefix("aa", "0b"))).is_success
        await fleet.wait_for(
            lambda: (
                first.quarantine.table.list_active()
                == [frozenset(find_parts(BAD_PART))]
            )
        )


async def test_a_resumed_stream_shows_that_its_parts_are_sound():
    """Guards against blaming parts that replicas go on writing on."""
    config = make_long_timeout_config(attempts=5)
    async with RelayDeployment(replicas=5, config=config) as fleet:
        (relay,) = fleet.relays
        for replica in fleet.replicas:
            replica.events, replica.pause_s = 8, 0.05
            replica.next_steps = ["break"]
        begun_s = time.monotonic()
        response = await fleet.stream(**make_prefix("aa", "0b"))
        assert response.status_code == 200 and "token 8" in response.text
        written_s = relay.quarantine.evidence.last_written_s(find_parts("aa")[0])
        assert written_s - begun_s > 0.08


async def test_broken_connections_without_a_crash_accuse_nothing():
    """Guards against blaming parts for resets of connections."""
    async with RelayDeployment(relays=2, replicas=4) as fleet:
        await wait_for_peers(fleet)
        for replica in fleet.replicas:
            replica.default_step = "reset"
        for number in range(12):
            await fleet.stream(relay=number % 2, **make_prefix("aa", f"{number:x}"))
        await anyio.sleep(2.0)
        for relay in fleet.relays:
            assert not relay.quarantine.table.list_active()
            assert relay.counters.counts["quarantine.crashes"] == 0


async def test_replicas_that_are_killed_accuse_no_part():
    """Guards against blaming popular parts for crashes that have another cause."""
    async with RelayDeployment(relays=3, replicas=8, crash_part="none") as fleet:
        await wait_for_peers(fleet)
        load = Load(fleet)
        for replica in fleet.replicas:
            replica.default_step, replica.long_pause_s = "late", 0.25

        async def kill():
            for _ in range(3):
                await anyio.sleep(0.15)
                for replica in load.draws.sample(fleet.replicas, 3):
                    replica.crash()
                    await anyio.sleep(0.05)

        async with anyio.create_task_group() as group:
            group.start_soon(load.run, load.send_sound, 60.0, 3.0)
            group.start_soon(kill)
        reports = [one.counters.counts["quarantine.crashes"] for one in fleet.relays]
        assert sum(reports) > 3
        for relay in fleet.relays:
            assert not relay.quarantine.table.list_entries()


async def test_a_node_that_saw_answers_objects_to_a_verdict():
    """Guards against blame by nodes that only saw the failures."""
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        first, other = fleet.relays
        shared = find_parts("aa")
        other.quarantine.evidence.note_written(shared, now_s=time.monotonic())
        now_s = time.monotonic()
        for number in range(4):
            check = CrashCheck([(number, (*shared, bytes([number])))])
            life = Life(f"gone-{number}", 1)
            report_crash(first, life, now_s - 0.5 + 0.1 * number, check)
        await anyio.sleep(1.0)
        assert not first.quarantine.table.list_entries()
        assert not other.quarantine.table.list_entries()


async def test_an_operator_lifts_a_quarantine_through_the_store(monkeypatch):
    """Guards against a blame that nothing but time ends."""
    monkeypatch.setattr("lycheetide.relay._quarantine_sync.STORE_POLL_S", 0.2)
    async with RelayDeployment(relays=2) as fleet:
        await wait_for_peers(fleet)
        impose(fleet.relays[0], BAD_PART)
        await fleet.wait_for(lambda: count_stored(fleet))
        store = platform.StoreClient(fleet.store.address)
        topic = platform.QUARANTINE_TOPIC
        ((entry,), _) = await read_quarantines(store, topic)
        assert not await lift_quarantine(store, topic, "no such name")
        assert await lift_quarantine(store, topic, entry.name)
        await store.aclose()
        await fleet.wait_for(lambda: not any(map(is_known, fleet.relays)))


def test_a_request_with_hundreds_of_parts_costs_little_time():
    """Guards against callers that make every request expensive."""
    text = ",".join(f"{number:032x}:1" for number in range(2_000)).encode()
    begun_s = time.perf_counter()
    request = platform.decode_request(
        method="POST", target=b"/stream/s",
        headers=[(b"lycheetide-prompt-prefix", text)], now_s=0.0,
    )  # fmt: skip
    parts = hash_parts("models", request.shared_parts)
    assert len(parts) == 512
    assert time.perf_counter() - begun_s < 0.05


@pytest.mark.parametrize(
    "text",
    [b",,,", b":", b"a", b"a,", b"\xff\xfe,b", b"0" * 10_000 + b",b", b" :4, :5"],
)
def test_malformed_lists_of_parts_are_read_without_an_error(text):
    """Guards against a list of parts that ends a request or a task."""
    request = platform.decode_request(
        method="POST", target=b"/stream/s",
        headers=[(b"lycheetide-prompt-prefix", text)], now_s=0.0,
    )  # fmt: skip
    assert all(request.shared_parts)
