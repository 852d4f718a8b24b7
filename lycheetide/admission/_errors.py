"""Errors of the admission functions."""


class InvalidMessage(ValueError):
    """A message about a waiting or refused request has a value that can't be right."""
