"""Estimate the size of prompts, split them, and make their prefix cache keys."""

import xxhash

CHARS_PER_TOKEN = 4
PREFIX_CHARS = 2_000


def estimate_tokens(text):
    """Return the estimated number of tokens of a text, at four characters per token.

    Examples
    --------
    >>> estimate_tokens("a gate of iron")
    4
    """
    return max(1, -(-len(text) // CHARS_PER_TOKEN))


def make_prefix_key(customer, model, prompt):
    """Return the key under which the prompt's prefix may be cached.

    The key contains the customer, so that customers don't share cached prefixes.
    Customers may compete with each other, and with a shared cache one could learn from
    a fast first token that another one has sent the same prompt.
    """
    digest = xxhash.xxh3_64_hexdigest(prompt[:PREFIX_CHARS].encode())
    return f"{customer}/{model}/{digest}"


def split_prompt(prompt, parts):
    """Split a prompt into consecutive parts of equal size.

    The last parts may be shorter, or empty.

    Examples
    --------
    >>> split_prompt("abcdefgh", 3)
    ('abc', 'def', 'gh')
    """
    size = -(-len(prompt) // parts)
    return tuple(prompt[i * size : (i + 1) * size] for i in range(parts))
