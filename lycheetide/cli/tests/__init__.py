"""Tests of lycheetide.cli."""
