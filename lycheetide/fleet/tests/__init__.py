"""Tests for the fleet configuration."""
