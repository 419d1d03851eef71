"""Tests of flamingolug.telemetry."""
