"""Whether a caller gets each event of a stream once if a link loses packets."""

import asyncio
import re

from review.lib2.case import LIMITS, TROUBLE, Case, make_route, make_service, run
from review.lib2.deployment import LossyProxy, find_port

EVENTS = 40
STREAM_S = 0.8
STREAMS_PER_S = 12
LENGTH_S = 36.0
LOSS = 0.03
ENGINE = {
    "slots": 16, "kvCapacityTokens": 232_000, "stride": 43, "step_ms": 1.02,
    "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206_000.0,
    "pairs_per_m": 0.138, "chunk": 2_048,
}  # fmt: skip
EVENT_ID = re.compile(rb"^id: (\d+)", re.MULTILINE)


class EventsOnce(Case):
    """Resumable streams whose events end with CRLF."""

    relay_count = 2
    replica_options = (
        {"service": "models", "framing": "events", "lines": EVENTS,
         "work-s": STREAM_S, "zone": "cork-c"},
    ) * 3  # fmt: skip

    def make_config(self):
        """Return the configuration."""
        route = make_route(
            "/stream/", "streaming", "models", attempts=2, resumable=True,
            gapTargetMs=250, timeoutMs=10_000, sticky=True,
        )  # fmt: skip
        return {
            "version": 3,
            "routes": [route],
            "services": [make_service("models") | {"engine": ENGINE}],
            "limits": LIMITS,
            "tenants": [{"name": "parish", "apiKeys": ["key-1"]}],
        }

    def make_proxy(self, place):
        """Return the proxy before one replica."""
        # All replicas are in cork-c, and the relays in the other zones.
        proxy = LossyProxy(find_port())
        proxy.loss = LOSS if TROUBLE else 0.0
        return proxy

    async def stream(self, number, ended):
        """Ask for a stream, and note the ids of its events."""
        attempt = f"{number:016x}"
        relay = self.relays[number % len(self.relays)]
        answer = await self.send(
            relay, "POST", f"/stream/{number}", attempt, timeout_s=10.0,
            more={"Lycheetide-Model": "m", "Lycheetide-Token-Count": "5000,1400",
                  "Lycheetide-Prompt-Prefix": f"5c1e:40,{number:x}:4960"},
        )  # fmt: skip
        if answer is None or answer.status != 200:
            ended.append((attempt, "not served", []))
            return
        ids = [int(one) for one in EVENT_ID.findall(answer.body)]
        wanted = list(range(1, EVENTS + 1))
        is_whole = answer.is_whole and ids == wanted
        is_part = not answer.is_whole and ids == wanted[: len(ids)]
        outcome = "whole" if is_whole else "cut" if is_part else "wrong"
        self.record.note(f"{attempt} is {outcome}: events {ids}")
        ended.append((attempt, outcome, ids))

    async def play(self):
        """Ask for streams at a steady rate."""
        ended = []
        async with asyncio.TaskGroup() as group:
            for number in range(1, int(LENGTH_S * STREAMS_PER_S) + 1):
                group.create_task(self.stream(number, ended))
                await asyncio.sleep(1 / STREAMS_PER_S)
        self.read_runs()
        lost = sum(proxy.lost for proxy in self.proxies)
        packets = sum(proxy.packets for proxy in self.proxies)
        self.record.note(f"{lost} of {packets} packets were lost")
        outcomes = [outcome for _, outcome, _ in ended]
        wrong = [attempt for attempt, outcome, _ in ended if outcome == "wrong"]
        self.conclude(
            f"{len(ended)} streams, {outcomes.count('whole')} whole, "
            f"{len(wrong)} with an event missing or twice: {wrong}"
        )
        if outcomes.count("whole") < len(ended) // 2:
            return 2
        return 1 if wrong else 0


if __name__ == "__main__":
    run(EventsOnce, __file__)
