"""Command that runs one stand-in as a separate process."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Annotated, Any

import anyio
import cappa
import msgspec

from lentilshore_kernel import SystemClock
from lentilshore_kernel.types import Address
from lentilshore_node.clients.http_client import HttpClient

from .asgi import create_application, serving
from .engine import EngineOptions, EngineStandIn, RatingSender
from .platform import PlatformStandIn
from .service import ServiceStandIn

Port = Annotated[
    int, cappa.Arg(long=True, help="TCP port on 127.0.0.1; 0 for any free port.")
]


def run_platform(command: Platform) -> None:
    """Run the stand-in for the platform."""
    standin = PlatformStandIn(SystemClock(), command.rating_lag_s)
    anyio.run(_serve, create_application(standin.handle), command.port)


def run_engine(command: Engine) -> None:
    """Run a stand-in for an engine."""
    anyio.run(_serve_engine, command)


def run_service(command: Service) -> None:
    """Run a stand-in for a plain service."""
    standin = ServiceStandIn(SystemClock())
    anyio.run(_serve, create_application(standin.handle), command.port)


@cappa.command(invoke=run_platform, help="Object API, instance list and ratings.")
@dataclass
class Platform:
    """Options of the platform command."""

    port: Port = 0
    rating_lag_s: Annotated[
        float,
        cappa.Arg(
            long="--rating-lag-s", help="Delay in seconds before a rating shows."
        ),
    ] = 1.0


@cappa.command(invoke=run_engine, help="A model engine.")
@dataclass
class Engine:
    """Options of the engine command."""

    port: Port = 0
    version: Annotated[
        list[str],
        cappa.Arg(long=True, help="MODEL@VERSION=SKILL that it serves; repeatable."),
    ] = None  # type: ignore[assignment]
    token_interval_s: Annotated[
        float,
        cappa.Arg(long="--token-interval-s", help="Time between tokens in seconds."),
    ] = 0.01
    answer_tokens: Annotated[
        int,
        cappa.Arg(
            long="--answer-tokens", help="Maximum length of an answer in tokens."
        ),
    ] = 32
    ignores_fencing: Annotated[
        bool,
        cappa.Arg(
            long="--ignores-fencing", help="Accept orders with any fencing number."
        ),
    ] = False
    platform: Annotated[
        str, cappa.Arg(long=True, help="IP:PORT of the platform to send ratings to.")
    ] = ""


@cappa.command(invoke=run_service, help="A plain service.")
@dataclass
class Service:
    """Options of the service command."""

    port: Port = 0


@cappa.command(name="lentilshore-standins", help="Run one stand-in.")
@dataclass
class StandIns:
    """The program with its commands."""

    command: cappa.Subcommands[Platform | Engine | Service]


async def _serve_engine(command: Engine) -> None:
    skills = dict(item.split("=") for item in command.version or ["small@1=0.5"])
    options = EngineOptions(
        {name: float(skill) for name, skill in skills.items()},
        token_interval_s=command.token_interval_s,
        answer_tokens=command.answer_tokens,
        honours_fencing=not command.ignores_fencing,
    )
    send_rating = _create_rating_sender(command.platform) if command.platform else None
    standin = EngineStandIn(SystemClock(), options, send_rating)
    await _serve(create_application(standin.handle), command.port)


def _create_rating_sender(platform_address: str) -> RatingSender:
    host, _, port = platform_address.partition(":")
    http = HttpClient()

    async def send_rating(request_id: str, good: bool) -> None:
        body = msgspec.json.encode({"request": request_id, "good": good})
        await http.request("POST", Address(host, int(port)), "/ratings", body)

    return send_rating


async def _serve(application: Any, port: int) -> None:
    async with serving(application, port=port) as address:
        print(f"listening {address}", flush=True)
        await anyio.sleep_forever()


if __name__ == "__main__":
    cappa.invoke(StandIns, argv=sys.argv[1:])
