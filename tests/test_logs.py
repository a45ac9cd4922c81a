import os

import anyio
import pytest

from lentilshore_kernel.logs import PipeWriter, RequestSampler
from lentilshore_kernel.testing import FakeClock


def create_message(text):
    return {"message_type": "e", "text": text}


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_writer_drops_lines_instead_of_blocking_on_a_stopped_reader(pipe):
    reader, writer = pipe
    dropped = []

    async def main():
        log = PipeWriter(writer, lambda: dropped.append(1), limit_bytes=10_000)
        for number in range(5000):
            log.write(create_message(f"line-{number}"))
        kept = 5000 - len(dropped)
        assert 0 < len(dropped) < 5000
        lines = b""
        while lines.count(b"\n") < kept:
            lines += await anyio.to_thread.run_sync(os.read, reader, 65536)
            await anyio.sleep(0)
        log.write(create_message("after"))
        lines += os.read(reader, 65536)
        return lines

    lines = anyio.run(main).decode().splitlines()
    assert all(line.startswith("time=") and "text=" in line for line in lines)
    assert lines[-1].endswith("text=after")


def test_writer_drops_lines_when_the_reader_has_closed_the_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    dropped = []
    log = PipeWriter(writer, lambda: dropped.append(1))
    log.write(create_message("x"))
    os.close(writer)
    assert dropped == [1]


def test_sampler_limits_the_rate_of_routine_lines():
    clock = FakeClock()
    sampler = RequestSampler(clock, lines_per_s=50)
    kept = []
    for _ in range(10):
        kept.append(sum(sampler.should_log(f"r{n}") for n in range(1000)))
        clock.advance(1.0)
    assert all(20 <= count <= 100 for count in kept)
    assert sum(kept[1:]) / 9 < 80


def test_sampler_keeps_every_line_below_the_limit():
    clock = FakeClock()
    sampler = RequestSampler(clock, lines_per_s=50)
    for _ in range(5):
        assert all(sampler.should_log(f"r{n}") for n in range(40))
        clock.advance(1.0)


def test_sampler_keeps_or_leaves_out_the_lines_of_a_request_together():
    clock = FakeClock()
    sampler = RequestSampler(clock, lines_per_s=50)
    for n in range(1000):
        sampler.should_log(f"r{n}")
    clock.advance(1.0)
    first = {f"r{n}": sampler.should_log(f"r{n}") for n in range(40)}
    assert {r: sampler.should_log(r) for r in first} == first
