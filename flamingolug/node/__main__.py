"""Runs `flamingolug-node` as a module."""

from flamingolug.node import _program

_program.main()
