"""Tests of reading the list of known failures."""

from scripts.known_red import is_test, read_entries

TEXT = """
# a comment
tests/test_x.py::test_y | make test | seen | 4
bench/x_bench.py killed, back after 20 s | python -m bench | seen | 4
"""


def test_only_entries_of_single_tests_are_deselected():
    names = [fields[0] for fields in read_entries(TEXT)]
    assert [is_test(name) for name in names] == [True, False]
    assert not is_test("tests/test_x.py")
