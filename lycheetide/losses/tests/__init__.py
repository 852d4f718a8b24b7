"""Tests of lycheetide.losses."""
