from lentilshore_standins.demo import run_demo


def test_every_step_goes_as_it_should(capsys):
    assert run_demo() == 0
    assert "FAILED" not in capsys.readouterr().out
