"""Runs all tests; failures of tests listed in KNOWN-RED.txt are tolerated.

A line of KNOWN-RED.txt that begins with `test:` names a test that is known to
fail, by its dotted path. Such a test is run and its failure is printed, but
does not fail the run.
"""

import logging
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("flamingolug", "flamingolug_standins", "flamingolug_bench")


def known_failing_tests() -> set[str]:
    """Returns the dotted paths of the tests that are known to fail."""
    path = ROOT / "KNOWN-RED.txt"
    names: set[str] = set()
    if not path.exists():
        return names
    for line in path.read_text(encoding="utf-8").splitlines():
        if line.startswith("test:"):
            names.add(line.removeprefix("test:").strip())
    return names


def main() -> int:
    """Runs all tests, prints a summary and returns the exit status."""
    sys.path.insert(0, str(ROOT))
    logging.disable(logging.CRITICAL)
    suite = unittest.TestSuite()
    loader = unittest.TestLoader()
    for package in PACKAGES:
        package_suite = loader.discover(
            str(ROOT / package), "test_*.py", str(ROOT)
        )
        suite.addTest(package_suite)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    tolerated_names = known_failing_tests()
    failed = [each for each, _ in result.failures + result.errors]
    # The id of a failed subtest is the id of its test, a space and the
    # parameters of the subtest.
    tolerated = [
        each for each in failed if each.id().split(" ")[0] in tolerated_names
    ]
    for each in tolerated:
        print(f"known red: {each.id()}")
    failed_count = len(failed) - len(tolerated)
    print(f"{result.testsRun - len(failed)} passed, {failed_count} failed")
    return 1 if failed_count or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
