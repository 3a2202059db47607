"""Expected answers of the stand-ins, computed independently of their code."""

import hashlib

TOKEN_DIGITS = 8


def digest_of(*fields):
    """Hex SHA-256 over fields, each preceded by its length and a colon."""
    data = b""
    for field in fields:
        raw = str(field).encode()
        data += str(len(raw)).encode() + b":" + raw
    return hashlib.sha256(data).hexdigest()


def answer_tokens(model, layers, request, prompt, count):
    """Tokens of a whole answer of `count` positions."""
    previous = [""] * layers
    tokens = []
    for position in range(count):
        below = prompt if position == 0 else tokens[-1]
        for layer in range(layers):
            below = digest_of(
                model, request, prompt, layer, position, below, previous[layer]
            )
            previous[layer] = below
        tokens.append(below[:TOKEN_DIGITS] + " ")
    return tokens


def service_result(service, operation, body):
    """Member `result` of a plain service's answer."""
    return digest_of(service, operation, body)
