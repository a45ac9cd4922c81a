"""Options shared by commands, and readers of their files."""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import anyio
import capnp
import cappa
import yaml

from lentilshore_kernel.exceptions import UsageError
from lentilshore_kernel.settings import TlsSetting
from lentilshore_kernel.tls import create_client_context
from lentilshore_kernel.types import Address

from .client import OperatorClient, connect
from .output import OutputFormat, print_fields

KEY_FILE_VARIABLE = "LENTILSHORE_KEY_FILE"
DEFAULT_NODE_ADDRESS = "127.0.0.1:7101"


class RecordFileError(UsageError):
    """A record file cannot be read or does not hold a YAML mapping."""


class AddressFormatError(UsageError):
    """A node's address is not an IP address and a port."""


def operator_command(
    run: Callable[[Any], None], **options: Any
) -> Callable[[type], type]:
    """Return a decorator that turns a class into a command.

    :param run: called with the command's instance.
    :param options: options of :func:`cappa.command`, such as ``help``.
    """

    def decorate(cls: type) -> type:
        def call(self: Any) -> None:
            run(self)

        cls.__call__ = call  # type: ignore[attr-defined]
        return cappa.command(**options)(cls)

    return decorate


@dataclass
class Connection:
    """Options of commands that connect to a node."""

    node: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="IP:PORT",
            help="Address of any node's operator listener.",
        ),
    ] = DEFAULT_NODE_ADDRESS
    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            value_name="FILE",
            help="File with the operator's key; defaults to the path in "
            f"{KEY_FILE_VARIABLE}.",
        ),
    ] = None
    certificate: Annotated[
        Path | None,
        cappa.Arg(
            long=True, value_name="FILE", help="Client certificate for TLS (PEM)."
        ),
    ] = None
    private_key: Annotated[
        Path | None,
        cappa.Arg(
            long="--private-key",
            value_name="FILE",
            help="Private key of the client certificate (PEM).",
        ),
    ] = None
    authority: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="Authority that signs the nodes' certificates (PEM).",
        ),
    ] = None
    output: Annotated[OutputFormat, cappa.Arg(long=True, help="Output format.")] = (
        OutputFormat.TABLE
    )

    def run(self, action: Callable[[OperatorClient], Awaitable[None]]) -> None:
        """Connect to the node and run an action.

        :param action: called with the connected client.
        """
        anyio.run(self._run, action)

    async def _run(self, action: Callable[[OperatorClient], Awaitable[None]]) -> None:
        tls = None
        if self.certificate and self.private_key:
            tls = create_client_context(
                TlsSetting(
                    certificate=self.certificate,
                    key=self.private_key,
                    authority=self.authority,
                )
            )
        async with capnp.kj_loop():
            address = parse_address(self.node)
            async with connect(address, self._read_key(), tls) as client:
                await action(client)

    def _read_key(self) -> str:
        path = self.key_file or os.environ.get(KEY_FILE_VARIABLE)
        return Path(path).read_text().strip() if path else ""


@dataclass
class ChangeOptions(Connection):
    """Options of commands that change the configuration."""

    change: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="ID",
            help="Identifier of the change; retry with the same one to learn "
            "whether the change was made. Random by default.",
        ),
    ] = None
    revision: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Revision that the change is made against; the node's by default.",
        ),
    ] = None

    async def apply(
        self,
        client: OperatorClient,
        updated: dict[str, Any],
        removed: tuple[str, ...] = (),
    ) -> None:
        """Make a change and print the revision that contains it.

        :param updated: records to set, by key.
        :param removed: keys to remove.
        """
        change = self.change or secrets.token_hex(8)
        revision = self.revision
        if revision is None:
            # No record is of the kind "none": only the revision is read.
            revision = (await client.read("none")).revision
        print(f"change {change} against revision {revision}", file=sys.stderr)
        new_revision = await client.change(change, revision, updated, removed)
        print_fields({"change": change, "revision": new_revision}, self.output)


def read_record(path: Path) -> dict[str, Any]:
    """Return the YAML mapping in a file, or on standard input for ``-``.

    :raises RecordFileError: if the input cannot be read or is not a mapping.
    """
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text()
        record = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as error:
        mark = getattr(error, "problem_mark", None)
        place = f"{path}:{mark.line + 1}" if mark else str(path)
        raise RecordFileError(f"{place}: {error}") from error
    if not isinstance(record, dict):
        raise RecordFileError(f"{path}:1: expected a mapping, found {record!r}")
    return record


def parse_address(text: str) -> Address:
    """Parse an address such as ``127.0.0.1:7101``.

    :raises AddressFormatError: if the text is not an IP address and a port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise AddressFormatError(f"--node: expected IP:PORT, found {text!r}")
    return Address(host.strip("[]"), int(port))


NameArgument = Annotated[str, cappa.Arg(value_name="NAME", help="Name of the record.")]
ModelArgument = Annotated[str, cappa.Arg(value_name="MODEL", help="Name of the model.")]
FileArgument = Annotated[
    Path,
    cappa.Arg(
        long=True,
        value_name="FILE",
        help="YAML file with the record; - reads standard input.",
    ),
]
