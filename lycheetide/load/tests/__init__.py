"""Tests of lycheetide.load."""
