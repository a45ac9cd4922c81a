"""Signed session tokens, which any node can verify without reading a store."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from itsdangerous import BadSignature, URLSafeSerializer

from lentilshore_kernel.exceptions import RefusalError
from lentilshore_kernel.types import ModelVersion, RefusalReason

TOKEN_LIMIT_CHARACTERS = 2048


class Session(NamedTuple):
    """A session and the model versions that it is pinned to.

    :param identifier: random identifier of the session.
    :param customer: name of the customer that owns the session.
    :param versions: pairs of a model's name and its pinned version.
    """

    identifier: str
    customer: str
    versions: tuple[tuple[str, str], ...] = ()

    def pinned_version(self, model: str) -> ModelVersion | None:
        """Return the version that a model is pinned to, or None."""
        version = dict(self.versions).get(model)
        return ModelVersion(model, version) if version else None

    def pin(self, version: ModelVersion) -> Session:
        """Return the session with a version pinned if it has none of that model yet."""
        if self.pinned_version(version.model):
            return self
        return self._replace(versions=(*self.versions, tuple(version)))


class SessionSigner:
    """Signs and verifies session tokens.

    :param keys: secret keys; the first one signs tokens, and all of them verify.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        self._serializer = URLSafeSerializer(
            list(reversed(keys)),
            salt="session",
            signer_kwargs={"key_derivation": "hmac"},
        )

    def sign(self, session: Session) -> str:
        """Return a signed token for a session."""
        return str(self._serializer.dumps(list(session)))

    def verify(self, token: str, customer: str) -> Session:
        """Verify a token and return its session.

        :param token: the token as the caller sent it.
        :param customer: name of the customer that sent it.
        :raises RefusalError: ``session_invalid`` if the token is too long, its
            signature is not valid or the session belongs to another customer.
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
