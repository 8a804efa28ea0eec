package kitemux.rollout;

/**
 * A keeper that votes, by number and by the identity of its folder: one that comes back with an empty folder
 * has another identity, and does not vote, as it could break promises that it made before.
 *
 * @param keeper its number, from 0
 * @param identity letters and digits, drawn when the folder was made
 */
public record Voter(int keeper, String identity) {
    /** As it stands in the configuration. */
    @Override
    public String toString() {
        return keeper + ":" + identity;
    }

    /** Reads what {@link #toString()} wrote; null where it is none. */
    public static Voter parse(String text) {
        int colon = text.indexOf(':');
        if (!text.matches("[0-9]{1,3}:[0-9A-Za-z]{1,32}")) {
            return null;
        }
        return new Voter(Integer.parseInt(text.substring(0, colon)), text.substring(colon + 1));
    }
}
