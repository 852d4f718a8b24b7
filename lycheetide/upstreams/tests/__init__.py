"""Tests for calls to upstreams."""
