package kitemux.members;

/**
 * How far sources and checks are believed. Times are microseconds.
 *
 * @param mostLost share of the servers that may be missing from a list at once, or within {@code sureUs};
 * more is
 *     doubted, in [0, 1]
 * @param sureUs what is doubted counts once it has been told for so long
 * @param health how servers are checked; null where they are not
 */
public record MemberSettings(double mostLost, long sureUs, Health health) {

    /**
     * How servers are checked.
     *
     * @param fall so many checks in a row that fail take one out, at least 1
     * @param rise so many in a row that pass bring it back, at least 1
     * @param mostOut share of the servers that checks may take out together, in [0, 1): beyond it checks are
     *     more likely wrong than servers, and a server that may be sick is better than one that drowns
     * @param holdUs one that was taken out stays out for so long at least; twice as long each time that it
     * is taken
     *     out again
     * @param mostHoldUs but no longer than this; one that was well for so long begins anew
     */
    public record Health(int fall, int rise, double mostOut, long holdUs, long mostHoldUs) {}
}
