"""Runs the bench as a module."""

from flamingolug_bench import program

program.main()
