"""Checks that generated files are up to date, or writes them."""

import json
import pathlib
import sys

from flamingolug import manifest
from flamingolug import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


def generated() -> dict[str, str]:
    """Returns the text of each generated file by its path."""
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
    """Compares, or writes with `--write`."""
    stale = 0
    for name, text in generated().items():
        path = ROOT / name
        if "--write" in sys.argv:
            path.write_text(text, encoding="utf-8")
            continue
        if not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{name} is out of date; run `make generated`")
            stale += 1
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
