"""Tests of flamingolug.http1."""
