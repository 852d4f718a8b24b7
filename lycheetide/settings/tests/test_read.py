"""Any settings file gives either settings or findings, never another error."""

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lycheetide.settings import NODE_FIELDS, SettingsError, read_settings

lines = st.one_of(
    st.sampled_from([f"[{field.section}]" for field in NODE_FIELDS]),
    st.builds(
        "{} = {}".format,
        st.sampled_from([field.key for field in NODE_FIELDS]),
        st.text("abc0123456789.:/ -%", max_size=12),
    ),
    st.text(max_size=20),
)


@given(st.lists(lines, max_size=20))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_arbitrary_text_gives_settings_or_findings(tmp_path_factory, rows):
    path = tmp_path_factory.getbasetemp() / "fuzz.ini"
    path.write_text("\n".join(rows), encoding="utf-8")
    with pytest.raises(ExceptionGroup) as raised:
        read_settings(path)
    assert all(isinstance(error, SettingsError) for error in raised.value.exceptions)
