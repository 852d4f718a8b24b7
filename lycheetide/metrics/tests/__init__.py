"""Tests of the package lycheetide.metrics."""
