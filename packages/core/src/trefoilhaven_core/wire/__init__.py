"""Encodings and sockets: datagrams, gRPC calls, TCP calls and HTTP."""
