"""Tests of the package lycheetide.load."""
