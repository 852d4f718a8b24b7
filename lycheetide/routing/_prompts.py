"""Sizes, segments and prefixes of prompts."""

import xxhash

BYTES_PER_TOKEN = 4
PREFIX_CHARS = 2_000


def count_tokens(text):
    """Estimate the tokens of a text, four characters each.

    Examples
    --------
    >>> count_tokens("a gate of iron")
    4
    """
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def make_prefix_key(customer, model, prompt):
    """Return the key under which the prompt's beginning may be cached.

    It names the customer: houses compete, and a prefix cache that they shared would
    tell one, by a quick first token, that another has sent the same prompt.
    """
    digest = xxhash.xxh3_64_hexdigest(prompt[:PREFIX_CHARS].encode())
    return f"{customer}/{model}/{digest}"


def split_prompt(prompt, parts):
    """Cut a prompt into parts of equal size, in order.

    Examples
    --------
    >>> split_prompt("abcdefgh", 3)
    ('abc', 'def', 'gh')
    """
    size = -(-len(prompt) // parts)
    return tuple(prompt[i * size : (i + 1) * size] for i in range(parts))
