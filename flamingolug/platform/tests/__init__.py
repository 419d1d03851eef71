"""Tests of flamingolug.platform."""
