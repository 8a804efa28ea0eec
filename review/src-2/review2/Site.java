package review2;

/** Configurations of a node like those of the site amman-main; the figures are the site's and the wire page's. */
final class Site {
    private Site() {}

    /** Returns a configuration file's text. */
    static String config(String listen, String discovery, int nodes, String knownList) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + knownList + ",\"settings\":" + settings(nodes) + "}";
    }

    private static String settings(int nodes) {
        return "{\"balancers\":" + nodes + ",\"me\":0,\"zones\":[\"amman-room\"],\"myZone\":\"amman-room\","
                + "\"classes\":["
                + requestClass("view-page", 100_000, 500_000, "safe", "all", 1, 5_000_000) + ","
                + requestClass("add-photo", 200_000, 600_000, "keyed", "cell", 5, 1_200_000) + ","
                + requestClass("place-order", 300_000, 1_000_000, "unsafe", "all", 5, 5_000_000) + "],"
                + "\"realms\":[{\"name\":\"school-a\",\"quotaPerS\":85.0,\"share\":1.0}],\"overShareWorth\":0.1,"
                + "\"countedBy\":\"request\",\"membershipMode\":\"on_request\",\"quantumUs\":2000,"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"dialTimeoutUs\":50000,"
                + "\"maxRetryAfterUs\":1000000,\"parallelTries\":true,\"probes\":true,\"retryAfter\":true},"
                + "\"rules\":{\"askWithinUs\":10000000,\"coldFrom\":0.12,\"coldUs\":23000000,\"drainGraceUs\":500000,"
                + "\"fallUs\":2000000,\"graceToAnswerUs\":8000,\"overloadFactor\":4.0},"
                + "\"costs\":{\"crossZone\":0.0},\"extra\":{\"warmKeys\":false},\"weights\":\"rough\"}";
    }

    private static String requestClass(
            String name, long aimUs, long deadlineUs, String repeat, String group, double worth, long windowUs) {
        return "{\"name\":\"" + name + "\",\"onTimeUs\":" + aimUs + ",\"giveUpUs\":" + deadlineUs + ",\"repeat\":\""
                + repeat + "\",\"group\":\"" + group + "\",\"importance\":" + worth + ",\"lateWorth\":0.0,\"windowUs\":"
                + windowUs + ",\"stream\":false}";
    }
}
