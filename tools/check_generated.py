"""Checks that the generated files are up to date, or writes them."""

import json
import pathlib
import sys

from flamingolug import manifest
from flamingolug import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


def expected_texts() -> dict[str, str]:
    """Returns the expected text of each generated file by its path."""
    return {
        "flamingolug/manifest/manifest.schema.json": _json(
            manifest.json_schema()
        ),
        "flamingolug/settings/settings.schema.json": _json(
            settings.json_schema()
        ),
    }


def _json(value: object) -> str:
    return json.dumps(value, indent=2, sort_keys=True) + "\n"


def main() -> int:
    """Compares the generated files, or writes them if `--write` is given.

    Returns:
        The exit status: 1 if a file is out of date, otherwise 0.
    """
    stale_count = 0
    for relative_path, text in expected_texts().items():
        path = ROOT / relative_path
        if "--write" in sys.argv:
            path.write_text(text, encoding="utf-8")
            continue
        if not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{relative_path} is out of date; run `make generated`")
            stale_count += 1
    return 1 if stale_count else 0


if __name__ == "__main__":
    sys.exit(main())
