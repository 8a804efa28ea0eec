package kitemux.orders;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** The SHA-256 digest (FIPS 180-4) of a request body. */
public final class Digest {
    /** Length of a digest in bytes. */
    public static final int BYTES = 32;

    private final byte[] bytes;

    private Digest(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns the digest of a body. */
    public static Digest of(byte[] body) {
        return of(List.of(body));
    }

    /** Returns the digest of a body that is given in parts. */
    static Digest of(List<byte[]> body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            body.forEach(digest::update);
            return new Digest(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this JVM does not provide SHA-256", e);
        }
    }

    /**
     * Returns a digest that was stored as bytes.
     *
     * @throws IllegalArgumentException if the length is not {@link #BYTES}
     */
    static Digest fromBytes(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException("a SHA-256 digest cannot have " + bytes.length + " bytes");
        }
        return new Digest(bytes.clone());
    }

    byte[] bytes() {
        return bytes.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Digest that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    /** Returns the digest in lower-case hexadecimal. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes);
    }
}
