package kitemux.cli;

/** The version of this program; a test holds it against the build's. */
final class Version {
    /** As in the build file. */
    static final String TEXT = "0.2.0";

    private Version() {}
}
