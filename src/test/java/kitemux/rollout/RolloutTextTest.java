package kitemux.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Encoded messages and records are parsed back to equal values. Invalid input is rejected as a whole, with
 * the path of each error.
 */
class RolloutTextTest {
    private static Arbitrary<String> values() {
        return Arbitraries.of(
                "1",
                "-0.5",
                "1e5",
                "true",
                "\"a \\\"b\\\"\"",
                "{}",
                "[]",
                "[1,null,{\"a\":\"\\\\\"}]",
                "{\"aimMs\":250,\"deep\":{\"x\":[false]}}",
                "\"\\u00e9\\ud83d\\ude00\"",
                "123456789012345678901234567890");
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings()
                .withCharRange('a', 'z')
                .withChars('-', '.', ' ', '"', '\\', '\u00e9')
                .ofMinLength(1)
                .ofMaxLength(12);
    }

    private static Arbitrary<String> paths() {
        return Combinators.combine(Arbitraries.of("realms", "classes", "limits"), names())
                .as((section, name) -> section + "/" + name);
    }

    private static Arbitrary<Change> changes() {
        return Combinators.combine(
                        Arbitraries.longs(),
                        Arbitraries.longs().between(0, Long.MAX_VALUE),
                        Arbitraries.maps(paths(), values()).ofMaxSize(5),
                        paths().set().ofMaxSize(4))
                .as((id, base, set, drop) ->
                        Change.of(String.format("%016x", id), base, RolloutTextTest.canonical(set), drop));
    }

    /**
     * Returns the values in the form in which they are stored: without spaces, and with the escapes used by
     * the encoder.
     */
    private static Map<String, String> canonical(Map<String, String> set) {
        Map<String, String> canonicalValues = new TreeMap<>();
        set.forEach((path, value) -> canonicalValues.put(
                path,
                RolloutText.readWatchEvent(("{\"rev\":1,\"part\":1,\"of\":1," + "\"set\":{\"realms/a\":" + value + "}}")
                                                .getBytes(StandardCharsets.UTF_8))
                                        .value()
                                instanceof WatchEvent.SnapshotPart part
                        ? part.set().get("realms/a")
                        : null));
        return canonicalValues;
    }

    private static Arbitrary<Ballot> ballots() {
        return Combinators.combine(
                        Arbitraries.longs().between(0, Long.MAX_VALUE),
                        Arbitraries.integers().between(-1, 7))
                .as(Ballot::new);
    }

    private static Arbitrary<Long> revs() {
        return Arbitraries.longs().between(1, Long.MAX_VALUE);
    }

    private static Arbitrary<Version> versions() {
        return Combinators.combine(revs(), changes()).as(Version::new);
    }

    private static <T> void assertRoundTrip(T value, byte[] text, Function<byte[], RolloutText.ParseResult<T>> result) {
        RolloutText.ParseResult<T> parsed = result.apply(text);
        assertEquals(List.of(), parsed.errors());
        assertEquals(value, parsed.value());
        assertTrue(new String(text, StandardCharsets.UTF_8).chars().noneMatch(c -> c < ' '), "expected a single line");
    }

    @Provide
    Arbitrary<Change> anyChange() {
        return changes();
    }

    @Property(tries = 300)
    void changeRoundTrips(@ForAll("anyChange") Change change) {
        assertRoundTrip(change, RolloutText.write(change), RolloutText::readChange);
    }

    @Provide
    Arbitrary<WatchEvent> anyWatchEvent() {
        return Arbitraries.oneOf(
                Combinators.combine(revs(), changes()).as((rev, c) -> new WatchEvent.Update(rev, c.set(), c.drop())),
                Combinators.combine(revs(), Arbitraries.integers().between(1, 300), changes())
                        .as((rev, of, c) -> new WatchEvent.SnapshotPart(rev, 1 + (int) (rev % of), of, c.set())),
                Arbitraries.just(new WatchEvent.Heartbeat()),
                revs().map(WatchEvent.NoQuorum::new));
    }

    @Property(tries = 300)
    void watchEventRoundTrips(@ForAll("anyWatchEvent") WatchEvent event) {
        assertRoundTrip(event, RolloutText.write(event), RolloutText::readWatchEvent);
    }

    @Provide
    Arbitrary<Report> anyReport() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 419),
                        revs(),
                        revs(),
                        paths().set().ofMaxSize(3),
                        Combinators.combine(revs(), paths(), names())
                                .as(Report.Rejection::new)
                                .list()
                                .ofMaxSize(3))
                .as((node, incarnation, rev, pendingRestart, rejections) ->
                        new Report(node, incarnation, rev, new TreeSet<>(pendingRestart), rejections));
    }

    @Property(tries = 200)
    void reportAndInventoryRowsRoundTrip(@ForAll("anyReport") Report report) {
        assertRoundTrip(report, RolloutText.write(report), RolloutText::readReport);
        List<Inventory.Row> rows = List.of(new Inventory.Row(report, 5), new Inventory.Row(report, 0));
        assertRoundTrip(rows, RolloutText.writeRows(rows), RolloutText::readRows);
    }

    @Provide
    Arbitrary<Request> anyRequest() {
        return Arbitraries.oneOf(
                Combinators.combine(revs(), ballots()).as(Request.Prepare::new),
                Combinators.combine(revs(), ballots(), changes()).as(Request.Accept::new),
                versions().map(Request.Chosen::new),
                revs().map(Request.Fetch::new));
    }

    @Property(tries = 200)
    void requestRoundTrips(@ForAll("anyRequest") Request request) {
        assertRoundTrip(request, RolloutText.write(request), RolloutText::readRequest);
    }

    @Provide
    Arbitrary<Response> anyResponse() {
        return Arbitraries.oneOf(
                Combinators.combine(revs(), ballots(), ballots(), changes()).as(Response.Promised::new),
                Combinators.combine(revs(), ballots()).as((rev, b) -> new Response.Promised(rev, b, Ballot.NONE, null)),
                Combinators.combine(revs(), ballots()).as(Response.Accepted::new),
                Combinators.combine(revs(), ballots(), ballots()).as(Response.Rejected::new),
                Combinators.combine(revs(), revs()).as(Response.Behind::new),
                Combinators.combine(revs(), revs(), versions().list().ofMaxSize(3))
                        .as(Response.Versions::new),
                Combinators.combine(revs(), changes()).as((rev, c) -> new Response.Snapshot(rev, c.set())));
    }

    @Property(tries = 200)
    void responseRoundTrips(@ForAll("anyResponse") Response response) {
        assertRoundTrip(response, RolloutText.write(response), RolloutText::readResponse);
    }

    @Provide
    Arbitrary<LogRecord> anyLogRecord() {
        return Arbitraries.oneOf(
                versions().map(LogRecord.Chosen::new),
                Combinators.combine(revs(), changes()).as((rev, c) -> new LogRecord.Snapshot(rev, c.set())),
                Combinators.combine(revs(), ballots(), ballots(), changes())
                        .as((rev, p, at, c) -> new LogRecord.Voted(new Vote(rev, p, at, c))),
                Combinators.combine(revs(), ballots())
                        .as((rev, p) -> new LogRecord.Voted(new Vote(rev, p, Ballot.NONE, null))));
    }

    @Property(tries = 200)
    void logRecordRoundTrips(@ForAll("anyLogRecord") LogRecord entry) {
        assertRoundTrip(entry, RolloutText.write(entry), RolloutText::readLogRecord);
    }

    private static void assertValueOrErrors(RolloutText.ParseResult<?> result) {
        assertEquals(result.value() == null, !result.errors().isEmpty(), "expected either a value or errors");
        result.errors().forEach(error -> {
            assertTrue(
                    !error.path().isEmpty() || error.reason().startsWith("is not a path"), () -> "no path: " + error);
            assertTrue(!error.reason().isEmpty(), () -> "no reason: " + error);
        });
    }

    @Provide
    Arbitrary<byte[]> corruptedText() {
        Arbitrary<byte[]> texts = Arbitraries.oneOf(
                changes().map(RolloutText::write),
                anyWatchEvent().map(RolloutText::write),
                anyReport().map(RolloutText::write),
                anyRequest().map(RolloutText::write),
                anyResponse().map(RolloutText::write),
                anyLogRecord().map(RolloutText::write),
                Arbitraries.of("", "null", "[]", "7", "{", "{\"rev\":null}")
                        .map(s -> s.getBytes(StandardCharsets.UTF_8)));
        return Combinators.combine(
                        texts,
                        Arbitraries.integers().between(0, 10_000),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.bytes())
                .as((text, offset, corruption, replacement) -> {
                    byte[] copy = text.clone();
                    if (copy.length == 0) {
                        return copy;
                    }
                    int position = offset % copy.length;
                    copy[position] = replacement;
                    return switch (corruption) {
                        case 0 -> text;
                        case 1 -> copy;
                        default -> java.util.Arrays.copyOf(copy, position);
                    };
                });
    }

    @Property(tries = 1_000)
    void anyInputYieldsValueOrErrors(@ForAll("corruptedText") byte[] text) {
        assertValueOrErrors(RolloutText.readChange(text));
        assertValueOrErrors(RolloutText.readWatchEvent(text));
        assertValueOrErrors(RolloutText.readReport(text));
        assertValueOrErrors(RolloutText.readRows(text));
        assertValueOrErrors(RolloutText.readRequest(text));
        assertValueOrErrors(RolloutText.readResponse(text));
        assertValueOrErrors(RolloutText.readLogRecord(text));
    }

    @Test
    void allErrorsOfAChangeAreReportedWithPaths() {
        RolloutText.ParseResult<Change> result = RolloutText.readChange(("{\"id\":\"xyz\",\"base\":-1,\"more\":1,"
                        + "\"set\":{\"realms/a\":null,\"/b\":1},\"drop\":[\"realms/c\",\"realms/c\",7,\"a/b/c\"]}")
                .getBytes(StandardCharsets.UTF_8));
        assertNull(result.value());
        assertEquals(
                List.of(
                        "more is unknown; known fields are id, base, set, drop",
                        "id is not 16 hex digits",
                        "base is not a whole number from 0 to 9223372036854775807",
                        "realms/a is null; list it in drop to remove it",
                        "/b is not a path of a section, a slash and a name with at most 128 characters",
                        "drop contains a duplicate: realms/c",
                        "drop contains a value that is not a string: 7",
                        "a/b/c is not a path of a section, a slash and a name with at most 128 characters"),
                result.errors().stream().map(ValidationError::toString).toList());
    }

    @Test
    void missingFieldsAreReported() {
        assertEquals(
                List.of("id is missing", "base is missing"),
                RolloutText.readChange("{}".getBytes(StandardCharsets.UTF_8)).errors().stream()
                        .map(ValidationError::toString)
                        .toList());
        assertEquals(
                Set.of("body"),
                Set.copyOf(RolloutText.readChange("[".getBytes(StandardCharsets.UTF_8)).errors().stream()
                        .map(ValidationError::path)
                        .toList()));
    }

    @Test
    void votersMustBeUniqueAndOdd() {
        assertEquals(
                List.of(new Voter(0, "a"), new Voter(2, "b"), new Voter(1, "c")),
                RolloutText.readVoters("[\"0:a\",\"2:b\",\"1:c\"]"));
        for (String bad : List.of(
                "[]",
                "[\"0:a\",\"1:b\"]",
                "[\"0:a\",\"0:b\",\"1:c\"]",
                "[0]",
                "{}",
                "\"0:a\"",
                "[\"0:\"]",
                "[\"x:a\"]",
                "[\"0:a b\"]",
                "[\"0:a\",\"1:a\",\"2:a\",\"3:a\",\"4:a\",\"5:a\",\"6:a\"]")) {
            assertNull(RolloutText.readVoters(bad), bad);
        }
    }
}
