"""The capacity page holds the table that the script computes."""

import json

from benchmarks.capacity import (
    CAPACITY_PAGE,
    CONTROL_RESULTS,
    make_table,
    replace_table,
)


def test_capacity_page_matches_measurements():
    page = CAPACITY_PAGE.read_text()
    table = make_table(json.loads(CONTROL_RESULTS.read_text()))
    assert replace_table(page, table) == page
