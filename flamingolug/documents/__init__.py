"""Loads YAML documents and checks them against a JSON Schema."""

from flamingolug.documents._yaml import load_checked
from flamingolug.documents._yaml import Problem
from flamingolug.documents._yaml import read_text

__all__ = ["Problem", "load_checked", "read_text"]
