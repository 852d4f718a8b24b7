"""Prompts with a part that crashes replicas are kept from the replicas."""

import random
import time
from dataclasses import dataclass, field

import anyio
import httpx
import pytest

from lycheetide.relay.tests.test_cold_limits import wait_for_peers
from standins.relay_deployment import RelayDeployment, make_config
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


async def test_a_part_that_crashes_replicas_reaches_few_after_five_crashes():
    """Guards against requests that carry a crash from replica to replica.

    The part comes with varying other parts, in any order, at any node; its callers
    repeat. Sound requests share the other parts and must go on.
    """
    async with RelayDeployment(
        relays=3, replicas=10, crash_part=BAD_PART, config=make_config()
    ) as fleet:
        await wait_for_peers(fleet)
        load = Load(fleet)
        begun_s = time.monotonic()
        await load.run(load.send_sound, SOUND_PER_S, 2.0)
        bad_s = time.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(load.run, load.send_sound, SOUND_PER_S, LOAD_S)
            group.start_soon(load.run, load.send_bad, BAD_PER_S, LOAD_S)
        ended_s = time.monotonic()
        crashes = list_crashes(fleet)
        last_counted_s = crashes[min(CRASHES, len(crashes)) - 1]
        late = [
            at_s
            for at_s in list_bad_requests(fleet)
            if len(crashes) >= CRASHES and at_s > last_counted_s + CONTACT_S
        ]
    assert crashes
    assert len(late) <= MAX_LATE_REQUESTS, f"{len(crashes)} replicas crashed"
    before = load.served_share(begun_s, bad_s)
    after = load.served_share(last_counted_s + 2 * CONTACT_S, ended_s)
    assert after >= 0.5 * before
