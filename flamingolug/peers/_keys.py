"""Keys of the peer links, derived from the shared secret.

The CURVE mechanism of ZeroMQ encrypts and authenticates each message and
rejects replayed messages. All nodes of a deployment use the same key pair. Its
public key can be derived only from the shared secret, and a client cannot
complete a handshake without the public key.
"""

import hashlib
import hmac
from typing import NamedTuple

import zmq
from zmq.utils import z85

_CURVE_PURPOSE = b"flamingolug peer links"
_OPERATOR_PURPOSE = b"flamingolug operators"


class PeerKeys(NamedTuple):
    """Keys that all nodes of a deployment share."""

    #: CURVE key pair, encoded as Z85.
    public: bytes
    secret: bytes
    #: Bearer token for operators' requests to a node.
    operator_token: str

    def is_operator(self, authorization: str) -> bool:
        """Returns whether an Authorization header contains the token."""
        expected = f"Bearer {self.operator_token}"
        return hmac.compare_digest(authorization.encode(), expected.encode())


def derive_keys(shared_secret: str) -> PeerKeys:
    """Returns the keys derived from a shared secret."""
    secret = z85.encode(_derive(shared_secret, _CURVE_PURPOSE))
    return PeerKeys(
        public=zmq.curve_public(secret),
        secret=secret,
        operator_token=_derive(shared_secret, _OPERATOR_PURPOSE).hex(),
    )


def _derive(shared_secret: str, purpose: bytes) -> bytes:
    """Returns a 32-byte key derived from the shared secret for a purpose."""
    return hashlib.blake2b(
        purpose,
        key=hashlib.sha512(shared_secret.encode()).digest(),
        digest_size=32,
    ).digest()
