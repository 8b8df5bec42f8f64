"""The capacity page matches the recorded measurements."""

from bench.capacity import page


def test_page_matches_the_recorded_data() -> None:
    assert page.main(check=True) == 0
