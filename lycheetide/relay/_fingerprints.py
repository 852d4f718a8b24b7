"""Name requests by their content, as far as that is needed."""

from lycheetide.quarantine import HEAD_BYTES, hash_request_head, make_fingerprint


def find_fingerprint(relay, call):
    """Return the fingerprint of a call, which is computed once."""
    if not call.fingerprint:
        call.fingerprint = make_fingerprint(find_head_hash(relay, call), call.body)
    return call.fingerprint


def find_head_prefix(relay, call):
    """Return the part of a call's fingerprint that needs no look at its body."""
    return find_head_hash(relay, call)[:HEAD_BYTES]


def find_head_hash(relay, call):
    """Return the hash of a call's content but its body, which is computed once."""
    if not call.head_hash:
        customer = call.customer.name if call.customer else ""
        fields = relay.adapter.list_content_fields(call.request)
        call.head_hash = hash_request_head(customer, fields)
    return call.head_hash
