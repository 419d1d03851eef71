"""Tests of flamingolug.web."""
