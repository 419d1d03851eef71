"""Runs the experiment tool with `python -m flamingolug_bench`."""

from flamingolug_bench import program

program.main()
