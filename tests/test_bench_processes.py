import sys

import pytest
from bench.processes import ProcessFailedError, running_process


def test_process_that_ends_before_it_listens_is_reported_with_its_stderr():
    command = [sys.executable, "-c", "import a_module_that_is_missing"]
    with (
        running_process(command) as process,
        pytest.raises(ProcessFailedError) as caught,
    ):
        process.read_address()
    assert "No module named 'a_module_that_is_missing'" in str(caught.value)


def test_read_address_returns_the_printed_address():
    command = [sys.executable, "-c", "print('listening 127.0.0.1:7')"]
    with running_process(command) as process:
        assert process.read_address() == ("127.0.0.1", 7)
