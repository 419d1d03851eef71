"""Tests over several parts, and what they share."""
