"""Stand-ins for the store, replicas and callers of the review cases 4 to 8."""
