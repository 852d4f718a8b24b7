"""Build tools of the single-file executable."""
