"""Tests of the package lycheetide.charts."""
