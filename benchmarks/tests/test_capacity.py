"""The page and the script that makes its table agree."""

import json

from benchmarks.capacity import CONTROL, PAGE, make_table, replace_table


def test_capacity_page_matches_measurements():
    page = PAGE.read_text()
    table = make_table(json.loads(CONTROL.read_text()))
    assert replace_table(page, table) == page
