"""Tests for the HTTP client."""
