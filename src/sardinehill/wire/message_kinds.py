"""Defines the kinds of messages between daemons and their numbers."""

import enum


class MessageKind(enum.IntEnum):
    """The kind of an envelope's payload, which determines its schema."""

    HELLO = 1
    HEARTBEAT = 2
    MEMBERS = 3
    STORE_REACHABILITY_QUERY = 4
    FORWARD = 10
    FORWARD_CHUNK = 11
    CANCEL = 12
    QUEUE_HANDOVER = 13
    QUEUE_LOAD_QUERY = 14
    LEND_TOKENS = 20
    DUPLICATE_LOOKUP = 21
    VOTE_REQUEST = 30
    SEAL = 31
    GATEWAY_GRANT = 32
    GATEWAY_RELEASE = 33
    REPLICATION_VERSIONS = 40
    REPLICATION_BODIES = 41
    DAEMON_REPORT = 50
    LEADER_TABLE = 51
    STORE_STATE_QUERY = 52
    STORE_STATE = 53
    LEADER_QUERY = 54
    TOKEN_REQUESTS = 55
    TOKEN_LOANS = 56
    STORE_CHANGE = 57
    COLD_SEND_REQUESTS = 58
    COLD_SEND_LOANS = 59
    LIMITED_SEND_REQUESTS = 60
    LIMITED_SEND_LOANS = 61
