"""Tests of the package lycheetide.losses."""
