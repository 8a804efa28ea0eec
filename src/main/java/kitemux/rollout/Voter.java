package kitemux.rollout;

/**
 * A keeper that votes, identified by its number and by the identity of its folder. A keeper that returns
 * with an empty folder has a new identity and does not vote, since it could break promises that it made
 * before.
 *
 * @param keeper number of the keeper, from 0
 * @param identity letters and digits, drawn at random when the folder was created
 */
public record Voter(int keeper, String identity) {
    /** Returns the form in which the configuration names a voter, such as {@code 0:9f2c}. */
    @Override
    public String toString() {
        return keeper + ":" + identity;
    }

    /** Parses the form that {@link #toString()} returns; returns null if the text does not have it. */
    public static Voter parse(String text) {
        int colon = text.indexOf(':');
        if (!text.matches("[0-9]{1,3}:[0-9A-Za-z]{1,32}")) {
            return null;
        }
        return new Voter(Integer.parseInt(text.substring(0, colon)), text.substring(colon + 1));
    }
}
