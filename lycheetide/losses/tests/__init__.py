"""Tests of the loss analysis."""
