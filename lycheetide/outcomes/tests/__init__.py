"""Tests of lycheetide.outcomes."""
