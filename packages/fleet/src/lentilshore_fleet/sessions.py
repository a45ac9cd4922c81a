"""Session tokens that any node honours without reading a store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from itsdangerous import BadSignature, URLSafeSerializer

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import ModelVersion, RefusalReason

TOKEN_LIMIT_CHARACTERS = 2048


class Session(NamedTuple):
    """A session and the versions that it started on.

    :param identifier: random identifier.
    :param customer: name of the customer that owns it.
    :param versions: version by model, as pairs of names.
    """

    identifier: str
    customer: str
    versions: tuple[tuple[str, str], ...] = ()

    def pinned(self, model: str) -> ModelVersion | None:
        """Return the version that the session keeps for a model, if any."""
        version = dict(self.versions).get(model)
        return ModelVersion(model, version) if version else None

    def pin(self, version: ModelVersion) -> Session:
        """Return the session with one more version kept."""
        if self.pinned(version.model):
            return self
        return self._replace(versions=(*self.versions, tuple(version)))


class SessionSigner:
    """Signs and verifies session tokens.

    :param keys: secrets; the first signs and every one verifies.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        self._serializer = URLSafeSerializer(
            list(reversed(keys)),
            salt="session",
            signer_kwargs={"key_derivation": "hmac"},
        )

    def sign(self, session: Session) -> str:
        """Return the token of a session."""
        return str(self._serializer.dumps(list(session)))

    def verify(self, token: str, customer: str) -> Session:
        """Return the session of a token.

        :param token: the token as the caller sent it.
        :param customer: name of the customer that sent it.
        :raises RefusalError: ``session_invalid``.
        """
        if len(token) > TOKEN_LIMIT_CHARACTERS:
            raise RefusalError(
                RefusalReason.SESSION_INVALID, detail="session token is too long"
            )
        try:
            identifier, owner, versions = self._serializer.loads(token)
            session = Session(identifier, owner, tuple((m, v) for m, v in versions))
        except (BadSignature, ValueError, TypeError) as error:
            raise RefusalError(
                RefusalReason.SESSION_INVALID, detail="session token is not valid"
            ) from error
        if session.customer != customer:
            raise RefusalError(
                RefusalReason.SESSION_INVALID, detail="session token is not valid"
            )
        return session
