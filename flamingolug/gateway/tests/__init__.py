"""Tests of flamingolug.gateway."""
