"""Benchmarks; ``make bench`` runs them all."""
