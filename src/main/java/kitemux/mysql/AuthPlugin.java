package kitemux.mysql;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Proofs that somebody knows a password without telling it: those of {@code mysql_native_password} and of the
 * fast path of {@code caching_sha2_password}. Only a digest of the password is kept on this side; who reads
 * that one cannot make a proof from it.
 */
public enum AuthPlugin {
    /** SHA1(password) XOR SHA1(nonce, SHA1(SHA1(password))). */
    NATIVE("mysql_native_password", "SHA-1") {
        @Override
        byte[] mask(byte[] digest, byte[] nonce) {
            return hash(nonce, digest);
        }
    },
    /** SHA256(password) XOR SHA256(SHA256(SHA256(password)), nonce). */
    CACHING_SHA2("caching_sha2_password", "SHA-256") {
        @Override
        byte[] mask(byte[] digest, byte[] nonce) {
            return hash(digest, nonce);
        }
    };

    /** Bytes of a nonce; one more, a zero, ends it on the wire. */
    public static final int NONCE_BYTES = 20;

    /** The plugin's name in the protocol. */
    public final String pluginName;

    private final String algorithm;

    AuthPlugin(String plugin, String algorithm) {
        this.pluginName = plugin;
        this.algorithm = algorithm;
    }

    abstract byte[] mask(byte[] digest, byte[] nonce);

    byte[] hash(byte[]... parts) {
        try {
            MessageDigest hash = MessageDigest.getInstance(algorithm);
            for (byte[] part : parts) {
                hash.update(part);
            }
            return hash.digest();
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform must have both.
            throw new IllegalStateException(e);
        }
    }

    /** What is kept of a password: its hash, hashed once more. */
    public byte[] digest(String password) {
        return hash(hash(password.getBytes(StandardCharsets.UTF_8)));
    }

    /** The proof for this nonce; empty for an empty password, as the protocol has it. */
    public byte[] createProof(String password, byte[] nonce) {
        if (password.isEmpty()) {
            return new byte[0];
        }
        byte[] passwordHash = hash(password.getBytes(StandardCharsets.UTF_8));
        return xor(passwordHash, mask(hash(passwordHash), nonce));
    }

    /** Whether a proof is one for the password of this digest, and for this nonce. */
    public boolean isValidProof(byte[] proof, byte[] digest, byte[] nonce) {
        if (proof.length == 0) {
            return MessageDigest.isEqual(digest(""), digest);
        }
        return proof.length == digest.length && MessageDigest.isEqual(hash(xor(proof, mask(digest, nonce))), digest);
    }

    private static byte[] xor(byte[] a, byte[] b) {
        byte[] out = Arrays.copyOf(a, a.length);
        for (int i = 0; i < out.length; i++) {
            out[i] ^= b[i];
        }
        return out;
    }
}
