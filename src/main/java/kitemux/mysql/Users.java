package kitemux.mysql;

import java.util.Map;

/**
 * Users that may log in. Only digests of their passwords are stored; they suffice to verify a proof, but not to
 * create one.
 *
 * @param byName users by name
 */
public record Users(Map<String, User> byName) {
    /** Stands in for unknown users, so that a login takes equally long whether or not the user exists. */
    private static final User UNKNOWN_USER = User.withPassword("", "\0");

    /**
     * A user.
     *
     * @param name as clients send it
     * @param digests of the password, one for each plugin that the user may log in with
     */
    public record User(String name, Map<AuthPlugin, byte[]> digests) {
        /**
         * Validates the digests.
         *
         * @throws IllegalArgumentException if there is no digest, with which nobody could ever log in
         */
        public User {
            if (digests.isEmpty()) {
                throw new IllegalArgumentException(name + " has no password digest");
            }
        }

        /** Creates a user from a plain password, with digests for both plugins. */
        public static User withPassword(String name, String password) {
            return new User(
                    name,
                    Map.of(
                            AuthPlugin.NATIVE,
                            AuthPlugin.NATIVE.digest(password),
                            AuthPlugin.CACHING_SHA2,
                            AuthPlugin.CACHING_SHA2.digest(password)));
        }
    }

    /** Returns the user of this name, or a placeholder whose login always fails. */
    User find(String name) {
        return byName.getOrDefault(name, UNKNOWN_USER);
    }

    /** Whether the proof is valid for this user. */
    boolean isProof(User user, AuthPlugin plugin, byte[] proof, byte[] nonce) {
        byte[] digest = user.digests().get(plugin);
        return digest != null && plugin.isValidProof(proof, digest, nonce) && user != UNKNOWN_USER;
    }
}
