"""Tests of lycheetide.charts."""
