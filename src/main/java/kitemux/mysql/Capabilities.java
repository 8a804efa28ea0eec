package kitemux.mysql;

/**
 * Capability flags of the protocol ("Capabilities Flags") that this program knows; both sides use those that
 * they share.
 */
final class Capabilities {
    static final long LONG_PASSWORD = 1;
    static final long FOUND_ROWS = 1 << 1;
    static final long LONG_FLAG = 1 << 2;
    static final long CONNECT_WITH_DB = 1 << 3;
    static final long LOCAL_FILES = 1 << 7;
    static final long PROTOCOL_41 = 1 << 9;
    static final long SSL = 1 << 11;
    static final long TRANSACTIONS = 1 << 13;
    static final long SECURE_CONNECTION = 1 << 15;
    static final long MULTI_STATEMENTS = 1 << 16;
    static final long MULTI_RESULTS = 1 << 17;
    static final long PS_MULTI_RESULTS = 1 << 18;
    static final long PLUGIN_AUTH = 1 << 19;
    static final long CONNECT_ATTRS = 1 << 20;
    static final long PLUGIN_AUTH_LENENC_DATA = 1 << 21;
    static final long SESSION_TRACK = 1 << 23;
    static final long DEPRECATE_EOF = 1 << 24;

    private Capabilities() {}

    static boolean has(long flags, long flag) {
        return (flags & flag) != 0;
    }
}
