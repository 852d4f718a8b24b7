"""Tests of the account of losses."""
