"""Whether a key is revoked if answers to reads that wait for that are lost."""

import asyncio

from review.lib2.case import LIMITS, TROUBLE, Case, make_route, make_service, run

LOOKUPS_PER_S = 6
LENGTH_S = 27.0
CHANGE_AT_S = 1.0
LOSS_AT_S = 3.0
REVOKE_AT_S = 4.0
LOSS_S = 2.0
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0


class LostRead(Case):
    """Lookups with a key that an operator revokes."""

    replica_options = ({"service": "ledger", "lines": 8, "work-s": 0.05},) * 6

    def make_config(self, *, version=3, keys=("key-1", "key-2"), timeout_ms=2_000):
        """Return a configuration."""
        route = make_route("/look/", "idempotent", "ledger", attempts=2)
        return {
            "version": version,
            "routes": [route | {"timeoutMs": timeout_ms}],
            "services": [make_service("ledger")],
            "limits": LIMITS,
            "tenants": [{"name": "parish", "apiKeys": list(keys)}],
        }

    async def look(self, number, sent):
        """Send a lookup to one relay, and note when and what came back."""
        attempt = f"{number:016x}"
        relay = self.relays[number % len(self.relays)]
        key = f"key-{1 + number // len(self.relays) % 2}"
        sent_s = self.now_s
        answer = await self.send(
            relay, "GET", f"/look/{number}", attempt, key=key, timeout_s=4.0
        )
        sent.append((attempt, sent_s, key, answer.status if answer else 0))

    def operate(self, text, **fields):
        """Write a configuration; the store acknowledges it at once."""
        self.store.put("keyed.op", "config", self.make_config(**fields))
        self.record.note(f"the operator {text}; acknowledged")

    async def disrupt(self):
        """Change the configuration twice; lose some answers of the store meanwhile."""
        await asyncio.sleep(CHANGE_AT_S)
        self.operate("changes a timeout", version=7, timeout_ms=1_900)
        await asyncio.sleep(LOSS_AT_S - CHANGE_AT_S)
        calls = self.store.calls
        if TROUBLE:
            self.store.is_answer_lost = lambda topic, kind: kind == "wait"
            self.record.note("the store begins to lose answers")
        await asyncio.sleep(REVOKE_AT_S - LOSS_AT_S)
        self.operate("revokes key-2", version=12, keys=["key-1"], timeout_ms=1_900)
        await asyncio.sleep(LOSS_AT_S + LOSS_S - REVOKE_AT_S)
        self.store.is_answer_lost = lambda topic, kind: False
        self.record.note(
            f"the store has lost {self.store.lost} answers of "
            f"{self.store.calls - calls} calls, and loses no more"
        )

    async def play(self):
        """Look up at a steady rate."""
        sent = []
        async with asyncio.TaskGroup() as group:
            group.create_task(self.disrupt())
            for number in range(int(LENGTH_S * LOOKUPS_PER_S)):
                group.create_task(self.look(number, sent))
                await asyncio.sleep(1 / LOOKUPS_PER_S)
        runs = {row["attempt"] for row in self.read_runs() if row["what"] == "runs"}
        in_touch_s = LOSS_AT_S + LOSS_S + CONTACT_S
        since_s = max(REVOKE_AT_S + CONFIG_APPLY_S + MAX_STRETCH_S, in_touch_s)
        late = [row for row in sent if row[2] == "key-2" and row[1] > since_s]
        ran = [row for row in late if row[0] in runs]
        served = sum(row[3] == 200 for row in sent if row[2] == "key-1")
        self.conclude(
            f"{served} lookups with the kept key were answered; of {len(late)} with "
            f"the revoked key, sent later than {since_s:.0f} s, {len(ran)} ran, the "
            f"last one sent at {max((row[1] for row in ran), default=0.0):.1f} s"
        )
        if served < len(sent) // 4:
            return 2
        return 1 if ran else 0


if __name__ == "__main__":
    run(LostRead, __file__)
