"""Settings of a node: YAML that is validated against types; every problem is listed."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import yaml
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    ValidationError,
    model_validator,
)

from .exceptions import SettingProblemError, SettingsError
from .types import Address

Port = Annotated[int, Field(strict=True, ge=0, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Seconds = Annotated[float, Field(strict=True, gt=0)]
Count = Annotated[int, Field(strict=True, ge=0)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressSetting(_Section):
    """IP address and port."""

    host: IPvAnyAddress = Field(description="IP address; host names are not resolved")
    port: Port = Field(description="TCP or UDP port, 0 for any free one")

    @property
    def address(self) -> Address:
        """The setting as an :class:`Address`."""
        return Address(str(self.host), self.port)


class PeerSetting(AddressSetting):
    """A seed node, through which the other nodes are discovered."""

    name: Name = Field(description="name of the instance")
    data_centre: Name = Field(description="data centre of the instance")


class SecretSetting(_Section):
    """A secret that is kept in its own file."""

    id: Name = Field(description="identifier, which is not secret")
    file: Path = Field(description="path of the file that holds the secret")

    def read(self) -> bytes:
        """Return the secret.

        :raises OSError: if the file cannot be read.
        """
        return self.file.read_bytes().strip()


class TlsSetting(_Section):
    """Certificate, private key and trusted authority of a listener or a link."""

    certificate: Path = Field(description="PEM file with the certificate chain")
    key: Path = Field(description="PEM file with the private key")
    authority: Path | None = Field(
        None,
        description="PEM file of the authority that signs the other side's certificate",
    )


class PlatformSetting(AddressSetting):
    """Address of the platform's services and how they are called."""

    kind: Name = Field("object-api", description="platform adapter plug-in")
    timeout_s: Seconds = Field(2.0, description="timeout of one call, seconds")


class LimitSettings(_Section):
    """Limits of one node."""

    body_bytes: Count = Field(
        4_194_304, gt=0, description="largest request body, bytes"
    )
    head_bytes: Count = Field(
        65_536, gt=0, description="largest request line and headers together, bytes"
    )
    caller_stall_s: Seconds = Field(
        30.0, description="timeout for a caller that reads nothing, seconds"
    )
    concurrent_requests: Count = Field(
        512, gt=0, description="largest number of requests dispatched concurrently"
    )
    queued_requests: Count = Field(
        512, ge=0, description="largest number of requests in the queue"
    )
    queue_wait_s: Seconds = Field(2.0, description="longest wait in the queue, seconds")
    upstream_stall_s: Seconds = Field(
        10.0, description="timeout for an upstream that sends nothing, seconds"
    )
    request_s: Seconds = Field(
        120.0, description="deadline of a request that sets none, seconds"
    )


class Settings(_Section):
    """Settings of one node."""

    instance: Name = Field(description="name of this instance")
    data_centre: Name = Field(description="data centre that the instance runs in")
    region: Name = Field("default", description="region of the data centre")
    caller: AddressSetting = Field(description="listener for callers (HTTP)")
    operator: AddressSetting = Field(description="listener for operators (RPC)")
    peer: AddressSetting = Field(description="listener for other nodes (RPC)")
    platform: PlatformSetting = Field(description="the platform's services")
    peers: list[PeerSetting] = Field([], description="seed nodes")
    session_keys: list[SecretSetting] = Field(
        min_length=1,
        description="keys that verify session tokens; new tokens are signed with the "
        "first",
    )
    operator_keys: list[SecretSetting] = Field(
        [],
        description="keys with which operators may read and change; without these and "
        "reader_keys the operator listener must be on loopback",
    )
    reader_keys: list[SecretSetting] = Field(
        [], description="keys with which operators may only read"
    )
    statsd: AddressSetting | None = Field(None, description="statsd server, if any")
    caller_tls: TlsSetting | None = Field(
        None, description="TLS of the listener for callers"
    )
    operator_tls: TlsSetting | None = Field(
        None, description="TLS of the listener for operators"
    )
    peer_tls: TlsSetting | None = Field(
        None, description="mutual TLS between nodes; the authority is required"
    )
    limits: LimitSettings = Field(LimitSettings(), description="limits of this node")
    policy: Name = Field("calibrated", description="cascade policy plug-in")
    drain_limit_s: Seconds = Field(
        60.0,
        description="longest wait for requests in flight while draining, seconds",
    )
    drain_notice_s: float = Field(
        2.0,
        strict=True,
        ge=0,
        description="time from failing /readyz to refusing requests while draining, "
        "seconds",
    )
    hand_over_limit_s: Seconds = Field(
        300.0,
        description="longest wait while draining until every bill has a copy "
        "elsewhere, seconds",
    )
    serve_without_copies: bool = Field(
        False,
        description="whether to serve requests while neither a peer nor the platform "
        "can store bills",
    )
    stale_limit_s: Seconds = Field(
        86_400.0,
        description="age of the configuration past which requests are refused, seconds",
    )

    @model_validator(mode="after")
    def _check_listener_security(self) -> Settings:
        keys = self.operator_keys or self.reader_keys
        if not self.operator.host.is_loopback and not (keys and self.operator_tls):
            raise ValueError(
                "an operator listener on a non-loopback address needs operator_keys "
                "or reader_keys, and operator_tls"
            )
        if not self.peer.host.is_loopback and not (
            self.peer_tls and self.peer_tls.authority
        ):
            raise ValueError(
                "a peer listener on a non-loopback address needs peer_tls with an "
                "authority"
            )
        return self


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :param path: path of a YAML file.
    :returns: the settings.
    :raises SettingsError: with every problem in the file.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise _create_single_problem_error(
            path, 1, "a readable file", str(error)
        ) from error
    return parse_settings(text, path)


def parse_settings(text: str, path: Path) -> Settings:
    """Validate the text of a settings file.

    :param text: YAML document.
    :param path: path of the file, which problems name.
    :returns: the settings.
    :raises SettingsError: with every problem in the text.
    """
    try:
        tree = yaml.compose(text, yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        raise _create_single_problem_error(
            path, line, "valid YAML", str(error)
        ) from error
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        raise SettingsError(
            [_create_problem(path, tree, detail) for detail in error.errors()]
        ) from error


def _create_single_problem_error(
    path: Path, line: int, expected: str, found: str
) -> SettingsError:
    first_line = found.splitlines()[0] if found else ""
    return SettingsError(
        [SettingProblemError(str(path), line, "-", expected, first_line)]
    )


def _create_problem(path: Path, tree: Any, detail: Any) -> SettingProblemError:
    location = detail["loc"]
    found = "nothing" if detail["type"] == "missing" else repr(detail["input"])
    expected = detail["msg"]
    if detail["type"] == "extra_forbidden":
        expected = "no such setting"
    return SettingProblemError(
        str(path),
        _find_line(tree, location),
        ".".join(str(part) for part in location) or "-",
        expected,
        found[:80],
    )


def _find_line(node: Any, location: tuple[int | str, ...]) -> int:
    """Return the line of the deepest part of a location that the document has."""
    line = 1
    for part in location:
        child = _find_child(node, part)
        if child is None:
            break
        key, node = child
        line = key.start_mark.line + 1
    return line


def _find_child(node: Any, part: int | str) -> tuple[Any, Any] | None:
    """Return the node that marks the start of a child, and the child itself."""
    if isinstance(node, yaml.MappingNode):
        return next(((k, v) for k, v in node.value if k.value == part), None)
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        return (node.value[part], node.value[part]) if part < len(node.value) else None
    return None
