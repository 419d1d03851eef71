"""Tests across several packages, and shared test helpers."""
