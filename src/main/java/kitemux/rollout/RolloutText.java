package kitemux.rollout;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import kitemux.config.Json;

/**
 * The records as JSON in UTF-8, one line each without its end. What is read is whole or not there: all that
 * is wrong is told with its place. Fields that are not known are faults, as they may be what somebody relies
 * on.
 */
public final class RolloutText {
    private static final Pattern PATH = Pattern.compile("[A-Za-z]+(/[^/\\p{Cntrl}]+)?");
    private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");
    /** A whole number as it may stand in an address or a file's name, too. */
    private static final long MOST = Long.MAX_VALUE;

    private RolloutText() {}

    /**
     * What was read.
     *
     * @param value null where there are faults
     * @param errors all that is wrong, each with its place
     */
    public record ParseResult<T>(T value, List<ValidationError> errors) {}

    /** How many bytes a text has. */
    static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    // Writing.

    /** An object, field by field. */
    private static final class Text {
        private final StringBuilder to = new StringBuilder("{");

        private Text name(String name) {
            if (to.length() > 1) {
                to.append(',');
            }
            quote(to, name);
            to.append(':');
            return this;
        }

        Text raw(String name, String value) {
            name(name);
            to.append(value);
            return this;
        }

        Text number(String name, long value) {
            return raw(name, Long.toString(value));
        }

        Text text(String name, String value) {
            name(name);
            quote(to, value);
            return this;
        }

        Text ballot(String name, Ballot ballot) {
            return raw(name, "[" + ballot.round() + "," + ballot.keeper() + "]");
        }

        Text values(String name, Map<String, String> values) {
            Text inner = new Text();
            values.forEach(inner::raw);
            return raw(name, inner.toString());
        }

        Text texts(String name, Iterable<String> texts) {
            StringBuilder list = new StringBuilder("[");
            for (String each : texts) {
                quote(list.length() > 1 ? list.append(',') : list, each);
            }
            return raw(name, list.append(']').toString());
        }

        Text objects(String name, List<Text> objects) {
            StringBuilder list = new StringBuilder("[");
            for (Text each : objects) {
                (list.length() > 1 ? list.append(',') : list).append(each);
            }
            return raw(name, list.append(']').toString());
        }

        @Override
        public String toString() {
            return to + "}";
        }

        byte[] bytes() {
            return toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private static void quote(StringBuilder to, String text) {
        to.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ' || Character.isSurrogate(c) || c == 0x7f) {
                to.append(String.format("\\u%04x", (int) c));
            } else {
                to.append(c);
            }
        }
        to.append('"');
    }

    /** A value as JSON without spaces. */
    public static String writeValue(Json json) {
        StringBuilder to = new StringBuilder();
        writeValue(to, json);
        return to.toString();
    }

    private static void writeValue(StringBuilder to, Json json) {
        if (json.isMissing()) {
            to.append("null");
        } else if (json.isObject()) {
            char before = '{';
            for (Map.Entry<String, Json> field : json.fields().entrySet()) {
                quote(to.append(before), field.getKey());
                writeValue(to.append(':'), field.getValue());
                before = ',';
            }
            to.append(before == '{' ? "{}" : "}");
        } else if (json.isList()) {
            char before = '[';
            for (Json each : json) {
                writeValue(to.append(before), each);
                before = ',';
            }
            to.append(before == '[' ? "[]" : "]");
        } else if (json.isString()) {
            quote(to, json.asText());
        } else {
            to.append(json.asText());
        }
    }

    private static Text text(Change change) {
        return new Text()
                .text("id", change.id())
                .number("base", change.base())
                .values("set", change.set())
                .texts("drop", change.drop());
    }

    private static Text text(Version version) {
        return new Text()
                .number("rev", version.rev())
                .raw("change", text(version.change()).toString());
    }

    /** A change. */
    public static byte[] write(Change change) {
        return text(change).bytes();
    }

    /** A line of a watch, without its end; a beat is empty. */
    public static byte[] write(WatchEvent line) {
        if (line instanceof WatchEvent.Update next) {
            return new Text()
                    .number("rev", next.rev())
                    .values("set", next.set())
                    .texts("drop", next.drop())
                    .bytes();
        } else if (line instanceof WatchEvent.SnapshotPart part) {
            return new Text()
                    .number("rev", part.rev())
                    .number("part", part.part())
                    .number("of", part.partCount())
                    .values("set", part.set())
                    .bytes();
        } else if (line instanceof WatchEvent.NoQuorum alone) {
            return new Text().number("rev", alone.rev()).raw("alone", "true").bytes();
        }
        return new byte[0];
    }

    private static Text text(Report report) {
        List<Text> refused = new ArrayList<>();
        for (Report.Rejection each : report.rejections()) {
            refused.add(new Text()
                    .number("rev", each.rev())
                    .text("path", each.path())
                    .text("reason", each.reason()));
        }
        return new Text()
                .number("node", report.node())
                .number("life", report.incarnation())
                .number("rev", report.rev())
                .texts("waits_restart", report.pendingRestart())
                .objects("refused", refused);
    }

    /** A node's report. */
    public static byte[] write(Report report) {
        return text(report).bytes();
    }

    /** Rows of an inventory. */
    public static byte[] writeRows(List<Inventory.Row> rows) {
        List<Text> all = new ArrayList<>();
        for (Inventory.Row row : rows) {
            all.add(new Text()
                    .number("age_us", row.ageUs())
                    .raw("report", text(row.report()).toString()));
        }
        return new Text().objects("rows", all).bytes();
    }

    /** What one keeper asks another. */
    public static byte[] write(Request request) {
        if (request instanceof Request.Prepare asked) {
            return new Text()
                    .text("kind", "prepare")
                    .number("rev", asked.rev())
                    .ballot("ballot", asked.ballot())
                    .bytes();
        } else if (request instanceof Request.Accept asked) {
            return new Text()
                    .text("kind", "accept")
                    .number("rev", asked.rev())
                    .ballot("ballot", asked.ballot())
                    .raw("value", text(asked.value()).toString())
                    .bytes();
        } else if (request instanceof Request.Chosen asked) {
            return new Text()
                    .text("kind", "chosen")
                    .raw("version", text(asked.version()).toString())
                    .bytes();
        }
        return new Text()
                .text("kind", "ask")
                .number("after", ((Request.Fetch) request).afterRev())
                .bytes();
    }

    /** What a keeper answers. */
    public static byte[] write(Response answer) {
        if (answer instanceof Response.Promised a) {
            Text text =
                    new Text().text("kind", "promised").number("rev", a.rev()).ballot("ballot", a.ballot());
            if (a.accepted() != null) {
                text.ballot("accepted_at", a.acceptedBallot())
                        .raw("accepted", text(a.accepted()).toString());
            }
            return text.bytes();
        } else if (answer instanceof Response.Accepted a) {
            return new Text()
                    .text("kind", "accepted")
                    .number("rev", a.rev())
                    .ballot("ballot", a.ballot())
                    .bytes();
        } else if (answer instanceof Response.Rejected a) {
            return new Text()
                    .text("kind", "refused")
                    .number("rev", a.rev())
                    .ballot("ballot", a.ballot())
                    .ballot("promised", a.promised())
                    .bytes();
        } else if (answer instanceof Response.Behind a) {
            return new Text()
                    .text("kind", "behind")
                    .number("rev", a.rev())
                    .number("known", a.newestRev())
                    .bytes();
        } else if (answer instanceof Response.Versions a) {
            return new Text()
                    .text("kind", "known")
                    .number("after", a.afterRev())
                    .number("known", a.newestRev())
                    .objects(
                            "versions",
                            a.versions().stream().map(RolloutText::text).toList())
                    .bytes();
        }
        Response.Snapshot a = (Response.Snapshot) answer;
        return new Text()
                .text("kind", "whole")
                .number("known", a.rev())
                .values("values", a.values())
                .bytes();
    }

    /** What a keeper writes to its folder. */
    public static byte[] write(LogRecord kept) {
        if (kept instanceof LogRecord.Chosen k) {
            return new Text()
                    .text("kind", "chosen")
                    .raw("version", text(k.version()).toString())
                    .bytes();
        } else if (kept instanceof LogRecord.Snapshot k) {
            return new Text()
                    .text("kind", "whole")
                    .number("rev", k.rev())
                    .values("values", k.values())
                    .bytes();
        }
        Vote vote = ((LogRecord.Voted) kept).vote();
        Text text = new Text().text("kind", "voted").number("rev", vote.rev()).ballot("promised", vote.promised());
        if (vote.accepted() != null) {
            text.ballot("accepted_at", vote.acceptedAt())
                    .raw("accepted", text(vote.accepted()).toString());
        }
        return text.bytes();
    }

    /** What an operator is told. */
    public static byte[] write(Outcome outcome) {
        if (outcome instanceof Outcome.Committed o) {
            return new Text().number("rev", o.rev()).bytes();
        } else if (outcome instanceof Outcome.Invalid o) {
            return new Text()
                    .objects(
                            "faults",
                            o.errors().stream()
                                    .map(fault -> new Text()
                                            .text("path", fault.path())
                                            .text("reason", fault.reason()))
                                    .toList())
                    .bytes();
        } else if (outcome instanceof Outcome.Conflict o) {
            return new Text().text("path", o.path()).number("rev", o.rev()).bytes();
        } else if (outcome instanceof Outcome.Unavailable o) {
            return new Text().text("reason", o.reason()).bytes();
        }
        return new Text()
                .text("reason", "not known whether it was chosen: ask again by its id")
                .bytes();
    }

    /** Values as the parts of a whole, in order; one at least, and each of one value at least. */
    static List<WatchEvent.SnapshotPart> splitSnapshot(long rev, SortedMap<String, String> values, int partBytes) {
        List<SortedMap<String, String>> cut = new ArrayList<>();
        SortedMap<String, String> part = new TreeMap<>();
        int size = 0;
        for (Map.Entry<String, String> value : values.entrySet()) {
            int more = utf8Length(value.getKey()) + utf8Length(value.getValue()) + 4;
            if (!part.isEmpty() && size + more > partBytes) {
                cut.add(part);
                part = new TreeMap<>();
                size = 0;
            }
            part.put(value.getKey(), value.getValue());
            size += more;
        }
        cut.add(part);
        List<WatchEvent.SnapshotPart> parts = new ArrayList<>();
        for (int i = 0; i < cut.size(); i++) {
            parts.add(new WatchEvent.SnapshotPart(rev, i + 1, cut.size(), cut.get(i)));
        }
        return parts;
    }

    // Reading.

    /** An object that is read, and what is wrong with it so far. */
    private static final class Source {
        private final Json json;
        private final String place;
        private final List<ValidationError> faults;

        Source(Json json, String place, List<ValidationError> faults, String... known) {
            this.json = json;
            this.place = place;
            this.faults = faults;
            if (!json.isObject()) {
                faults.add(new ValidationError(place.isEmpty() ? "body" : place, "is no object"));
            }
            List<String> names = List.of(known);
            json.fields().keySet().stream()
                    .filter(name -> !names.contains(name))
                    .sorted()
                    .forEach(name -> fault(name, "is not known; known are " + String.join(", ", names)));
        }

        String at(String name) {
            return place.isEmpty() ? name : place + "." + name;
        }

        void fault(String name, String reason) {
            faults.add(new ValidationError(at(name), reason));
        }

        Json json(String name) {
            return json.path(name);
        }

        boolean has(String name) {
            return !json.path(name).isMissing();
        }

        long whole(String name, long least, long most) {
            Json given = json.path(name);
            long value = given.isLong() ? given.asLong(least - 1) : least - 1;
            if (!given.isLong() || value < least || value > most) {
                fault(name, given.isMissing() ? "is missing" : "is not a whole number from " + least + " to " + most);
                return least;
            }
            return value;
        }

        long rev(String name, long least) {
            return whole(name, least, MOST);
        }

        String text(String name) {
            Json given = json.path(name);
            if (!given.isString()) {
                fault(name, given.isMissing() ? "is missing" : "is no string");
            }
            return given.asText();
        }

        Ballot ballot(String name) {
            List<Json> pair = json.path(name).values();
            if (pair.size() != 2
                    || !pair.get(0).isLong()
                    || !pair.get(1).isLong()
                    || pair.get(0).asLong(-1) < 0
                    || pair.get(1).asLong(-2) < -1
                    || pair.get(1).asLong(-2) > Integer.MAX_VALUE) {
                fault(name, "is no ballot as [round, keeper]");
                return Ballot.NONE;
            }
            return new Ballot(pair.get(0).asLong(0), (int) pair.get(1).asLong(0));
        }

        SortedMap<String, String> values(String name) {
            SortedMap<String, String> values = new TreeMap<>();
            if (has(name) && !json(name).isObject()) {
                fault(name, "is no object of paths and values");
            }
            json(name).fields().forEach((path, value) -> {
                if (value.isMissing()) {
                    faults.add(new ValidationError(path, "is null; to drop it, name it in drop"));
                } else {
                    values.put(path, RolloutText.writeValue(value));
                }
                path(path);
            });
            return values;
        }

        void path(String path) {
            if (!PATH.matcher(path).matches() || path.length() > ProtocolParameters.MAX_PATH_LENGTH_CHARS) {
                faults.add(new ValidationError(
                        path,
                        "is no path: a section, a slash and a name, at most " + ProtocolParameters.MAX_PATH_LENGTH_CHARS
                                + " characters"));
            }
        }

        SortedSet<String> texts(String name) {
            SortedSet<String> texts = new TreeSet<>();
            if (has(name) && !json(name).isList()) {
                fault(name, "is no list");
            }
            for (Json each : json(name)) {
                if (!each.isString()) {
                    fault(name, "holds what is no string: " + RolloutText.writeValue(each));
                } else if (!texts.add(each.asText())) {
                    fault(name, "holds twice " + each.asText());
                }
            }
            return texts;
        }

        List<Json> list(String name) {
            if (!json(name).isList()) {
                fault(name, has(name) ? "is no list" : "is missing");
            }
            return json(name).values();
        }

        Change change(String name) {
            return RolloutText.change(json(name), at(name), faults);
        }

        Version version(String name) {
            return RolloutText.version(json(name), at(name), faults);
        }
    }

    private interface Reader<T> {
        T read(Json json, List<ValidationError> faults);
    }

    private static <T> ParseResult<T> read(byte[] text, Reader<T> reader) {
        List<ValidationError> faults = new ArrayList<>();
        T value = null;
        try {
            value = reader.read(Json.read(text), faults);
        } catch (IOException e) {
            faults.add(new ValidationError("body", "is no JSON: " + e.getMessage()));
        }
        return new ParseResult<>(faults.isEmpty() ? value : null, List.copyOf(faults));
    }

    private static Change change(Json json, String place, List<ValidationError> faults) {
        Source from = new Source(json, place, faults, "id", "base", "set", "drop");
        String id = from.text("id");
        if (from.json("id").isString() && !ID.matcher(id).matches()) {
            from.fault("id", "is not 16 hex digits");
        }
        long base = from.rev("base", 0);
        SortedMap<String, String> set = from.values("set");
        SortedSet<String> drop = from.texts("drop");
        drop.forEach(from::path);
        return new Change(id, base, set, drop);
    }

    private static Version version(Json json, String place, List<ValidationError> faults) {
        Source from = new Source(json, place, faults, "rev", "change");
        return new Version(from.rev("rev", 1), from.change("change"));
    }

    /** An operator's change. */
    public static ParseResult<Change> readChange(byte[] text) {
        if (text.length > ProtocolParameters.MAX_CHANGE_BYTES) {
            return new ParseResult<>(
                    null,
                    List.of(new ValidationError(
                            "change",
                            "has " + text.length + " bytes; " + ProtocolParameters.MAX_CHANGE_BYTES + " are allowed")));
        }
        return read(text, (json, faults) -> change(json, "", faults));
    }

    /** A line of a watch, without its end. */
    public static ParseResult<WatchEvent> readWatchEvent(byte[] text) {
        if (text.length == 0) {
            return new ParseResult<>(new WatchEvent.Heartbeat(), List.of());
        }
        return read(text, (json, faults) -> {
            if (!json.path("alone").isMissing()) {
                Source from = new Source(json, "", faults, "rev", "alone");
                if (!from.json("alone").asBoolean()) {
                    from.fault("alone", "is not true");
                }
                return new WatchEvent.NoQuorum(from.rev("rev", 0));
            }
            if (!json.path("part").isMissing()) {
                Source from = new Source(json, "", faults, "rev", "part", "of", "set");
                int of = (int) from.whole("of", 1, ProtocolParameters.MAX_PATH_COUNT);
                return new WatchEvent.SnapshotPart(
                        from.rev("rev", 1), (int) from.whole("part", 1, of), of, from.values("set"));
            }
            Source from = new Source(json, "", faults, "rev", "set", "drop");
            SortedSet<String> drop = from.texts("drop");
            drop.forEach(from::path);
            return new WatchEvent.Update(from.rev("rev", 1), from.values("set"), drop);
        });
    }

    private static Report report(Json json, String place, List<ValidationError> faults) {
        Source from = new Source(json, place, faults, "node", "life", "rev", "waits_restart", "refused");
        List<Report.Rejection> refused = new ArrayList<>();
        for (Json each : from.list("refused")) {
            Source one = new Source(each, from.at("refused"), faults, "rev", "path", "reason");
            refused.add(new Report.Rejection(one.rev("rev", 1), one.text("path"), one.text("reason")));
        }
        SortedSet<String> waits = from.texts("waits_restart");
        if (refused.size() > ProtocolParameters.MAX_REPORTED_COUNT
                || waits.size() > ProtocolParameters.MAX_REPORTED_COUNT) {
            from.fault("refused", "or waits_restart has more than " + ProtocolParameters.MAX_REPORTED_COUNT);
        }
        return new Report(
                (int) from.whole("node", 0, Integer.MAX_VALUE),
                from.whole("life", 0, MOST),
                from.rev("rev", 0),
                waits,
                List.copyOf(refused));
    }

    /** A node's report. */
    public static ParseResult<Report> readReport(byte[] text) {
        return read(text, (json, faults) -> report(json, "", faults));
    }

    /** Rows of an inventory. */
    public static ParseResult<List<Inventory.Row>> readRows(byte[] text) {
        return read(text, (json, faults) -> {
            Source from = new Source(json, "", faults, "rows");
            List<Inventory.Row> rows = new ArrayList<>();
            for (Json each : from.list("rows")) {
                Source row = new Source(each, "rows", faults, "age_us", "report");
                rows.add(new Inventory.Row(
                        report(row.json("report"), "rows.report", faults), row.whole("age_us", 0, MOST)));
            }
            return List.copyOf(rows);
        });
    }

    /** What another keeper asks. */
    public static ParseResult<Request> readRequest(byte[] text) {
        return read(text, (json, faults) -> switch (json.path("kind").asText()) {
            case "prepare" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "ballot");
                yield new Request.Prepare(from.rev("rev", 1), from.ballot("ballot"));
            }
            case "accept" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "ballot", "value");
                yield new Request.Accept(from.rev("rev", 1), from.ballot("ballot"), from.change("value"));
            }
            case "chosen" -> new Request.Chosen(new Source(json, "", faults, "kind", "version").version("version"));
            case "ask" -> new Request.Fetch(new Source(json, "", faults, "kind", "after").rev("after", 0));
            default -> {
                faults.add(new ValidationError("kind", "is none of prepare, accept, chosen, ask"));
                yield null;
            }
        });
    }

    /** What another keeper answers. */
    public static ParseResult<Response> readResponse(byte[] text) {
        return read(text, (json, faults) -> switch (json.path("kind").asText()) {
            case "promised" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "ballot", "accepted_at", "accepted");
                boolean is = from.has("accepted") || from.has("accepted_at");
                yield new Response.Promised(
                        from.rev("rev", 1),
                        from.ballot("ballot"),
                        is ? from.ballot("accepted_at") : Ballot.NONE,
                        is ? from.change("accepted") : null);
            }
            case "accepted" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "ballot");
                yield new Response.Accepted(from.rev("rev", 1), from.ballot("ballot"));
            }
            case "refused" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "ballot", "promised");
                yield new Response.Rejected(from.rev("rev", 1), from.ballot("ballot"), from.ballot("promised"));
            }
            case "behind" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "known");
                yield new Response.Behind(from.rev("rev", 1), from.rev("known", 0));
            }
            case "known" -> {
                Source from = new Source(json, "", faults, "kind", "after", "known", "versions");
                List<Version> versions = new ArrayList<>();
                from.list("versions").forEach(each -> versions.add(version(each, "versions", faults)));
                if (versions.size() > ProtocolParameters.MAX_RESPONSE_VERSION_COUNT) {
                    from.fault("versions", "has more than " + ProtocolParameters.MAX_RESPONSE_VERSION_COUNT);
                }
                yield new Response.Versions(from.rev("after", 0), from.rev("known", 0), List.copyOf(versions));
            }
            case "whole" -> {
                Source from = new Source(json, "", faults, "kind", "known", "values");
                yield new Response.Snapshot(from.rev("known", 1), from.values("values"));
            }
            default -> {
                faults.add(new ValidationError("kind", "is none of promised, accepted, refused, behind, known, whole"));
                yield null;
            }
        });
    }

    /** What a keeper's folder holds. */
    public static ParseResult<LogRecord> readLogRecord(byte[] text) {
        return read(text, (json, faults) -> switch (json.path("kind").asText()) {
            case "chosen" -> new LogRecord.Chosen(new Source(json, "", faults, "kind", "version").version("version"));
            case "whole" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "values");
                yield new LogRecord.Snapshot(from.rev("rev", 1), from.values("values"));
            }
            case "voted" -> {
                Source from = new Source(json, "", faults, "kind", "rev", "promised", "accepted_at", "accepted");
                boolean is = from.has("accepted") || from.has("accepted_at");
                yield new LogRecord.Voted(new Vote(
                        from.rev("rev", 1),
                        from.ballot("promised"),
                        is ? from.ballot("accepted_at") : Ballot.NONE,
                        is ? from.change("accepted") : null));
            }
            default -> {
                faults.add(new ValidationError("kind", "is none of chosen, whole, voted"));
                yield null;
            }
        });
    }

    /** The voters that a value names; null where it names none that could be. */
    static List<Voter> readVoters(String value) {
        List<Voter> voters = new ArrayList<>();
        Set<Integer> keepers = new HashSet<>();
        try {
            for (Json each : Json.read(value.getBytes(StandardCharsets.UTF_8))) {
                Voter voter = Voter.parse(each.asText());
                if (voter == null || !each.isString() || !keepers.add(voter.keeper())) {
                    return null;
                }
                voters.add(voter);
            }
        } catch (IOException e) {
            return null;
        }
        return voters.size() % 2 == 1 && voters.size() <= ProtocolParameters.MAX_VOTER_COUNT
                ? List.copyOf(voters)
                : null;
    }
}
