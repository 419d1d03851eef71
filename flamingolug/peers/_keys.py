"""Keys of the peer links, derived from the shared secret.

ZeroMQ's CURVE mechanism encrypts and authenticates each message and refuses
replays. All nodes of a deployment use one key pair: only a holder of the
secret knows the public half, without which a handshake cannot be completed.
"""

import hashlib
import hmac
from typing import NamedTuple

import zmq
from zmq.utils import z85

_CURVE_PURPOSE = b"flamingolug peer links"
_OPERATOR_PURPOSE = b"flamingolug operators"


class PeerKeys(NamedTuple):
    """Key material of one deployment."""

    #: CURVE key pair in Z85 form.
    public: bytes
    secret: bytes
    #: Bearer token of the operators' requests to a node.
    operator_token: str

    def allows(self, authorization: str) -> bool:
        """Returns whether an Authorization header holds the token."""
        expected = f"Bearer {self.operator_token}"
        return hmac.compare_digest(authorization.encode(), expected.encode())


def derive_keys(shared_secret: str) -> PeerKeys:
    """Returns the keys that belong to a shared secret."""
    secret = z85.encode(_derive(shared_secret, _CURVE_PURPOSE))
    return PeerKeys(
        public=zmq.curve_public(secret),
        secret=secret,
        operator_token=_derive(shared_secret, _OPERATOR_PURPOSE).hex(),
    )


def _derive(shared_secret: str, purpose: bytes) -> bytes:
    """Returns 32 bytes bound to secret and purpose."""
    return hashlib.blake2b(
        purpose,
        key=hashlib.sha512(shared_secret.encode()).digest(),
        digest_size=32,
    ).digest()
