package kitemux.mysql;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Challenge-response authentication: {@code mysql_native_password} and the fast path of {@code
 * caching_sha2_password}. A client proves that it knows a password without sending it. Only a digest of the
 * password is stored on this side, from which no proof can be computed.
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

    /** Length of a nonce; on the wire it is followed by a zero byte. */
    public static final int NONCE_BYTES = 20;

    /** Name of the plugin in the protocol. */
    public final String pluginName;

    private final String algorithm;

    AuthPlugin(String plugin, String algorithm) {
        this.pluginName = plugin;
        this.algorithm = algorithm;
    }

    /** Returns the mask that is combined with the hash of the password. */
    abstract byte[] mask(byte[] digest, byte[] nonce);

    /** Hashes the concatenated parts. */
    byte[] hash(byte[]... parts) {
        try {
            MessageDigest hash = MessageDigest.getInstance(algorithm);
            for (byte[] part : parts) {
                hash.update(part);
            }
            return hash.digest();
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform provides both algorithms.
            throw new IllegalStateException(e);
        }
    }

    /** Returns the digest that is stored for a password: its hash, hashed once more. */
    public byte[] digest(String password) {
        return hash(hash(password.getBytes(StandardCharsets.UTF_8)));
    }

    /** Computes the proof for this nonce; it is empty for an empty password, as the protocol specifies. */
    public byte[] createProof(String password, byte[] nonce) {
        if (password.isEmpty()) {
            return new byte[0];
        }
        byte[] passwordHash = hash(password.getBytes(StandardCharsets.UTF_8));
        return xor(passwordHash, mask(hash(passwordHash), nonce));
    }

    /** Whether a proof matches the password of this digest and this nonce. */
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
