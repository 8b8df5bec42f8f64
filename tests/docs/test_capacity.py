"""The page on capacity agrees with the recorded measurements."""

from bench.capacity import page


def test_the_table_is_the_one_worked_out_from_the_data() -> None:
    assert page.main(check=True) == 0
