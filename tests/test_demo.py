from lentilshore_standins.demo import run_demo


def test_every_step_has_the_expected_outcome(capsys):
    assert run_demo() == 0
    assert "FAILED" not in capsys.readouterr().out
