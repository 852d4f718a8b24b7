"""Tests of the soak test's own parts, and short soak runs."""
