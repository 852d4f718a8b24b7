"""Tests of the package lycheetide.cli."""
