"""Tests of lycheetide.metrics."""
