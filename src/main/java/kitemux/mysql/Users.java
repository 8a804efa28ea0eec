package kitemux.mysql;

import java.util.Map;

/**
 * Who may log in here. Of a password only digests are kept, by which a proof can be checked and none made.
 *
 * @param byName users by their names
 */
public record Users(Map<String, User> byName) {
    /** Stands for one that is not there, so that it takes as long to find out. */
    private static final User UNKNOWN_USER = User.withPassword("", "\0");

    /**
     * A user.
     *
     * @param name as clients give it
     * @param digests of the password, one for each plugin that the user may log in with
     */
    public record User(String name, Map<AuthPlugin, byte[]> digests) {
        /** Throws IllegalArgumentException if there is no digest: nobody could ever log in. */
        public User {
            if (digests.isEmpty()) {
                throw new IllegalArgumentException(name + " has no digest of a password");
            }
        }

        /** One whose password is known here, for both plugins. */
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

    /** The user of this name, or one that nobody can log in as. */
    User find(String name) {
        return byName.getOrDefault(name, UNKNOWN_USER);
    }

    /** Whether this proof shows that somebody is the user. */
    boolean isProof(User user, AuthPlugin plugin, byte[] proof, byte[] nonce) {
        byte[] digest = user.digests().get(plugin);
        return digest != null && plugin.isValidProof(proof, digest, nonce) && user != UNKNOWN_USER;
    }
}
