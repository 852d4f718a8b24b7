"""Tests of this subpackage."""
