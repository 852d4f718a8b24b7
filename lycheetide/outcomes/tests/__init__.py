"""Tests of the package lycheetide.outcomes."""
