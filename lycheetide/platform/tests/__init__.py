"""Tests for the platform adapter."""
