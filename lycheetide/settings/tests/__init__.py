"""Tests for reading settings."""
