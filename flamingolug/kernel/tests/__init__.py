"""Tests of flamingolug.kernel."""
