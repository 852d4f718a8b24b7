"""No order of claims, crashes, lost responses and releases runs a key twice.

The log may drop old records at any time.
"""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheetide.bookings import (
    Claim,
    KeyMode,
    KeyStatus,
    OutcomeRecord,
    make_claim_record,
    make_key,
    make_outcome_record,
    make_release_record,
    parse_key,
    resolve_claim,
)

NODES = 3


class OneKey(RuleBasedStateMachine):
    """Nodes that claim one key, crash, and run it only when the log allows.

    ``delayed_appends`` are those that a node has sent and that have not reached the log
    yet: their responses are lost, and they take effect at any later time.
    """

    def __init__(self):
        super().__init__()
        self.log = [{"kind": "claim", "key": "other", "id": "x", "member": "n",
                     "body_hash": "h"}]  # fmt: skip
        self.first_retained = 0
        self.key_offset = 1
        self.delayed_appends = []
        self.claims: list[Claim | None] = [None] * NODES
        self.may_run = [False] * NODES
        self.released = set()
        self.claim_count = 0
        self.runs = 0
        self.outcome_known = False

    @rule(node=st.integers(0, NODES - 1))
    def make_claim(self, node):
        if self.claims[node] is None:
            self.claim_count += 1
            self.claims[node] = Claim(f"c{self.claim_count}", "key", f"n{node}", "h")

    @rule(node=st.integers(0, NODES - 1), is_late=st.booleans())
    def append_claim(self, node, is_late):
        claim = self.claims[node]
        if claim is not None:
            target = self.delayed_appends if is_late else self.log
            target.append(make_claim_record(claim))

    @rule(position=st.integers(0, 9))
    def late_append_takes_effect(self, position):
        if self.delayed_appends:
            self.log.append(
                self.delayed_appends.pop(position % len(self.delayed_appends))
            )

    @rule(node=st.integers(0, NODES - 1))
    def read(self, node):
        claim = self.claims[node]
        if claim is None:
            return
        records = list(enumerate(self.log))[self.first_retained :]
        decision = resolve_claim(
            [row for row in records if row[0] >= self.key_offset],
            claim, issue_offset=self.key_offset, first_retained=self.first_retained,
        )  # fmt: skip
        self.may_run[node] = decision.key_status is KeyStatus.MINE

    @rule(node=st.integers(0, NODES - 1), is_recorded=st.booleans())
    def run_key(self, node, is_recorded):
        claim = self.claims[node]
        if claim is None or not self.may_run[node]:
            return
        self.runs += 1
        self.may_run[node] = False
        self.claims[node] = None
        if is_recorded:
            outcome = OutcomeRecord("key", claim.claim_id, "h", 200, {})
            self.log.append(make_outcome_record(outcome))

    @rule(node=st.integers(0, NODES - 1), is_late=st.booleans())
    def give_up(self, node, is_late):
        claim = self.claims[node]
        if claim is None:
            return
        self.claims[node] = None
        self.may_run[node] = False
        target = self.delayed_appends if is_late else self.log
        target.append(make_release_record(claim))

    @rule(node=st.integers(0, NODES - 1))
    def crash(self, node):
        self.claims[node] = None
        self.may_run[node] = False

    @rule(count=st.integers(1, 4))
    def drop_old_records(self, count):
        self.first_retained = min(len(self.log), self.first_retained + count)

    @invariant()
    def runs_once(self):
        assert self.runs <= 1


class TestOneKey(OneKey.TestCase):  # type: ignore[misc, valid-type]
    """A caller retries through several nodes that crash, and the log loses responses.

    A second run would book an order twice or charge a customer twice.
    """

    settings = settings(
        max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
    )


def test_a_key_whose_first_records_have_expired_is_never_run():
    """A key is used again days later, after the log has dropped its first claim."""
    claim = Claim("c1", "key", "n1", "h")
    decision = resolve_claim(
        [(9, make_claim_record(claim))], claim, issue_offset=3, first_retained=4
    )
    assert decision.key_status is KeyStatus.EXPIRED


def test_a_key_used_with_another_body_is_reported():
    first = Claim("c1", "key", "n1", "h1")
    second = Claim("c2", "key", "n2", "h2")
    records = [(0, make_claim_record(first)), (1, make_claim_record(second))]
    decision = resolve_claim(records, second, issue_offset=0, first_retained=0)
    assert decision.key_status is KeyStatus.OTHER_BODY


@pytest.mark.parametrize(
    "text", ["", "abc", "lt1~c~-1~n~k~00", "lt1~x~1~n~k~" + "0" * 24, "~" * 5]
)
def test_keys_that_no_node_has_issued_are_refused(text):
    with pytest.raises(ValueError, match="POST /v1/keys"):
        parse_key(text)


def test_a_parsed_key_equals_the_issued_one():
    key = make_key(
        mode=KeyMode.HOME, issue_offset=12, issuer_id="n1/a", customer="kestrel"
    )
    assert parse_key(key.text) == key
