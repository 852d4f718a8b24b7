"""Requests through a fleet of real processes, from caller to upstream."""

from standins.callers import (
    book,
    count_runs,
    post,
    request_idempotency_key,
    send_prompt,
    sum_kv_used_tokens,
)


def list_nodes(fleet):
    return list(fleet.nodes.values())


def test_short_prompt_is_answered_whole(fleet):
    answer = send_prompt(list_nodes(fleet)[0], 1_000, max_tokens=5)
    assert answer.whole
    prefix = answer.request_id[:6]
    assert answer.texts == tuple(f"{prefix}.{seq} " for seq in range(5))


def test_prompt_above_one_engines_memory_spans_several(fleet):
    node = list_nodes(fleet)[1]
    answer = send_prompt(node, 990_000, max_tokens=3, request_class="archive")
    assert answer.whole
    assert len(answer.texts) == 3
    url = f"{node.operator_url}/explain/{answer.request_id}"
    steps = fleet.http.get(url).json()["steps"]
    granted = next(step for step in steps if step["what"] == "A permit was granted.")
    assert len(set(granted["replicas"])) == 4
    fleet.wait_for(
        lambda: sum_kv_used_tokens(fleet) == 0, timeout_s=5, what="empty engines"
    )


def test_lookup_is_answered_by_the_service(fleet):
    path = "/v1/services/booking/status"
    answer = post(list_nodes(fleet)[2], path, {"order": 7})
    assert answer.status == 200
    assert answer.body["echo"] == {"order": 7}


def test_deposit_repeated_through_every_node_runs_once(fleet):
    key = request_idempotency_key(list_nodes(fleet)[0])
    answers = [book(node, key) for node in list_nodes(fleet)]
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert len({str(answer.body) for answer in answers}) == 1
    assert count_runs(fleet, key) == 1
