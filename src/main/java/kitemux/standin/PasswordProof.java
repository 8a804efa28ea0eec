package kitemux.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;

/** Proofs of a password by MySQL's authentication plugins. */
final class PasswordProof {
    static final String NATIVE_PLUGIN = "mysql_native_password";
    static final String SHA2_PLUGIN = "caching_sha2_password";
    static final int NONCE_BYTES = 20;

    /** Nonces hold bytes from 1 to this; some drivers take a zero for the end. */
    private static final int MAX_NONCE_BYTE = 126;

    private PasswordProof() {}

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < NONCE_BYTES; i++) {
            nonce[i] = (byte) (1 + random.nextInt(MAX_NONCE_BYTE));
        }
        return nonce;
    }

    /** Returns the proof that a client sends for this password and the server's nonce. */
    static byte[] compute(String plugin, String password, byte[] nonce) {
        boolean isNative = plugin.equals(NATIVE_PLUGIN);
        String algorithm = isNative ? "SHA-1" : "SHA-256";
        byte[] proof = hash(algorithm, password.getBytes(StandardCharsets.UTF_8));
        byte[] doubleHash = hash(algorithm, proof);
        byte[] mask = isNative ? hash(algorithm, nonce, doubleHash) : hash(algorithm, doubleHash, nonce);
        for (int i = 0; i < proof.length; i++) {
            proof[i] ^= mask[i];
        }
        return proof;
    }

    private static byte[] hash(String algorithm, byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance(algorithm);
            for (byte[] part : parts) {
                digest.update(part);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
