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
 * Encodes messages and records as JSON in UTF-8, each on one line without its line end. An input is either
 * read completely or rejected with all errors and their places. Unknown fields are errors, since the sender
 * may rely on them.
 */
public final class RolloutText {
    private static final Pattern PATH_PATTERN = Pattern.compile("[A-Za-z]+(/[^/\\p{Cntrl}]+)?");
    private static final Pattern CHANGE_ID_PATTERN = Pattern.compile("[0-9a-f]{16}");
    /** Largest number accepted, which may also be part of an address or of a file name. */
    private static final long MAX_WHOLE_NUMBER = Long.MAX_VALUE;

    private RolloutText() {}

    /**
     * The result of parsing an input.
     *
     * @param value the value; null if there are errors
     * @param errors all errors, each with its place
     */
    public record ParseResult<T>(T value, List<ValidationError> errors) {}

    /** Returns the length of a text in bytes as UTF-8. */
    static int utf8Length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    // Encoding.

    /** Builds a JSON object field by field. */
    private static final class JsonWriter {
        private final StringBuilder builder = new StringBuilder("{");

        private JsonWriter fieldName(String name) {
            if (builder.length() > 1) {
                builder.append(',');
            }
            quote(builder, name);
            builder.append(':');
            return this;
        }

        JsonWriter raw(String name, String value) {
            fieldName(name);
            builder.append(value);
            return this;
        }

        JsonWriter number(String name, long value) {
            return raw(name, Long.toString(value));
        }

        JsonWriter string(String name, String value) {
            fieldName(name);
            quote(builder, value);
            return this;
        }

        JsonWriter ballot(String name, Ballot ballot) {
            return raw(name, "[" + ballot.round() + "," + ballot.keeper() + "]");
        }

        JsonWriter values(String name, Map<String, String> values) {
            JsonWriter inner = new JsonWriter();
            values.forEach(inner::raw);
            return raw(name, inner.toString());
        }

        JsonWriter strings(String name, Iterable<String> strings) {
            StringBuilder list = new StringBuilder("[");
            for (String each : strings) {
                quote(list.length() > 1 ? list.append(',') : list, each);
            }
            return raw(name, list.append(']').toString());
        }

        JsonWriter objects(String name, List<JsonWriter> objects) {
            StringBuilder list = new StringBuilder("[");
            for (JsonWriter each : objects) {
                (list.length() > 1 ? list.append(',') : list).append(each);
            }
            return raw(name, list.append(']').toString());
        }

        @Override
        public String toString() {
            return builder + "}";
        }

        byte[] bytes() {
            return toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private static void quote(StringBuilder builder, String text) {
        builder.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                builder.append('\\').append(c);
            } else if (c < ' ' || Character.isSurrogate(c) || c == 0x7f) {
                builder.append(String.format("\\u%04x", (int) c));
            } else {
                builder.append(c);
            }
        }
        builder.append('"');
    }

    /** Encodes a value as JSON without spaces. */
    public static String writeValue(Json json) {
        StringBuilder builder = new StringBuilder();
        writeValue(builder, json);
        return builder.toString();
    }

    private static void writeValue(StringBuilder builder, Json json) {
        if (json.isMissing()) {
            builder.append("null");
        } else if (json.isObject()) {
            char separator = '{';
            for (Map.Entry<String, Json> field : json.fields().entrySet()) {
                quote(builder.append(separator), field.getKey());
                writeValue(builder.append(':'), field.getValue());
                separator = ',';
            }
            builder.append(separator == '{' ? "{}" : "}");
        } else if (json.isList()) {
            char separator = '[';
            for (Json each : json) {
                writeValue(builder.append(separator), each);
                separator = ',';
            }
            builder.append(separator == '[' ? "[]" : "]");
        } else if (json.isString()) {
            quote(builder, json.asText());
        } else {
            builder.append(json.asText());
        }
    }

    private static JsonWriter toJson(Change change) {
        return new JsonWriter()
                .string("id", change.id())
                .number("base", change.base())
                .values("set", change.set())
                .strings("drop", change.drop());
    }

    private static JsonWriter toJson(Version version) {
        return new JsonWriter()
                .number("rev", version.rev())
                .raw("change", toJson(version.change()).toString());
    }

    /** Encodes a change. */
    public static byte[] write(Change change) {
        return toJson(change).bytes();
    }

    /** Encodes an event of a watch without its line end; a heartbeat is empty. */
    public static byte[] write(WatchEvent event) {
        if (event instanceof WatchEvent.Update next) {
            return new JsonWriter()
                    .number("rev", next.rev())
                    .values("set", next.set())
                    .strings("drop", next.drop())
                    .bytes();
        } else if (event instanceof WatchEvent.SnapshotPart part) {
            return new JsonWriter()
                    .number("rev", part.rev())
                    .number("part", part.part())
                    .number("of", part.partCount())
                    .values("set", part.set())
                    .bytes();
        } else if (event instanceof WatchEvent.NoQuorum alone) {
            return new JsonWriter()
                    .number("rev", alone.rev())
                    .raw("alone", "true")
                    .bytes();
        }
        return new byte[0];
    }

    private static JsonWriter toJson(Report report) {
        List<JsonWriter> rejections = new ArrayList<>();
        for (Report.Rejection each : report.rejections()) {
            rejections.add(new JsonWriter()
                    .number("rev", each.rev())
                    .string("path", each.path())
                    .string("reason", each.reason()));
        }
        return new JsonWriter()
                .number("node", report.node())
                .number("life", report.incarnation())
                .number("rev", report.rev())
                .strings("waits_restart", report.pendingRestart())
                .objects("refused", rejections);
    }

    /** Encodes a node's report. */
    public static byte[] write(Report report) {
        return toJson(report).bytes();
    }

    /** Encodes the rows of an inventory. */
    public static byte[] writeRows(List<Inventory.Row> rows) {
        List<JsonWriter> all = new ArrayList<>();
        for (Inventory.Row row : rows) {
            all.add(new JsonWriter()
                    .number("age_us", row.ageUs())
                    .raw("report", toJson(row.report()).toString()));
        }
        return new JsonWriter().objects("rows", all).bytes();
    }

    /** Encodes a request between keepers. */
    public static byte[] write(Request request) {
        if (request instanceof Request.Prepare message) {
            return new JsonWriter()
                    .string("kind", "prepare")
                    .number("rev", message.rev())
                    .ballot("ballot", message.ballot())
                    .bytes();
        } else if (request instanceof Request.Accept message) {
            return new JsonWriter()
                    .string("kind", "accept")
                    .number("rev", message.rev())
                    .ballot("ballot", message.ballot())
                    .raw("value", toJson(message.value()).toString())
                    .bytes();
        } else if (request instanceof Request.Chosen message) {
            return new JsonWriter()
                    .string("kind", "chosen")
                    .raw("version", toJson(message.version()).toString())
                    .bytes();
        }
        return new JsonWriter()
                .string("kind", "ask")
                .number("after", ((Request.Fetch) request).afterRev())
                .bytes();
    }

    /** Encodes a response between keepers. */
    public static byte[] write(Response response) {
        if (response instanceof Response.Promised a) {
            JsonWriter text = new JsonWriter()
                    .string("kind", "promised")
                    .number("rev", a.rev())
                    .ballot("ballot", a.ballot());
            if (a.accepted() != null) {
                text.ballot("accepted_at", a.acceptedBallot())
                        .raw("accepted", toJson(a.accepted()).toString());
            }
            return text.bytes();
        } else if (response instanceof Response.Accepted a) {
            return new JsonWriter()
                    .string("kind", "accepted")
                    .number("rev", a.rev())
                    .ballot("ballot", a.ballot())
                    .bytes();
        } else if (response instanceof Response.Rejected a) {
            return new JsonWriter()
                    .string("kind", "refused")
                    .number("rev", a.rev())
                    .ballot("ballot", a.ballot())
                    .ballot("promised", a.promised())
                    .bytes();
        } else if (response instanceof Response.Behind a) {
            return new JsonWriter()
                    .string("kind", "behind")
                    .number("rev", a.rev())
                    .number("known", a.newestRev())
                    .bytes();
        } else if (response instanceof Response.Versions a) {
            return new JsonWriter()
                    .string("kind", "known")
                    .number("after", a.afterRev())
                    .number("known", a.newestRev())
                    .objects(
                            "versions",
                            a.versions().stream().map(RolloutText::toJson).toList())
                    .bytes();
        }
        Response.Snapshot a = (Response.Snapshot) response;
        return new JsonWriter()
                .string("kind", "whole")
                .number("known", a.rev())
                .values("values", a.values())
                .bytes();
    }

    /** Encodes a record of a keeper's log. */
    public static byte[] write(LogRecord entry) {
        if (entry instanceof LogRecord.Chosen k) {
            return new JsonWriter()
                    .string("kind", "chosen")
                    .raw("version", toJson(k.version()).toString())
                    .bytes();
        } else if (entry instanceof LogRecord.Snapshot k) {
            return new JsonWriter()
                    .string("kind", "whole")
                    .number("rev", k.rev())
                    .values("values", k.values())
                    .bytes();
        }
        Vote vote = ((LogRecord.Voted) entry).vote();
        JsonWriter text = new JsonWriter()
                .string("kind", "voted")
                .number("rev", vote.rev())
                .ballot("promised", vote.promised());
        if (vote.accepted() != null) {
            text.ballot("accepted_at", vote.acceptedAt())
                    .raw("accepted", toJson(vote.accepted()).toString());
        }
        return text.bytes();
    }

    /** Encodes the outcome of a change. */
    public static byte[] write(Outcome outcome) {
        if (outcome instanceof Outcome.Committed o) {
            return new JsonWriter().number("rev", o.rev()).bytes();
        } else if (outcome instanceof Outcome.Invalid o) {
            return new JsonWriter()
                    .objects(
                            "faults",
                            o.errors().stream()
                                    .map(error -> new JsonWriter()
                                            .string("path", error.path())
                                            .string("reason", error.reason()))
                                    .toList())
                    .bytes();
        } else if (outcome instanceof Outcome.Conflict o) {
            return new JsonWriter()
                    .string("path", o.path())
                    .number("rev", o.rev())
                    .bytes();
        } else if (outcome instanceof Outcome.Unavailable o) {
            return new JsonWriter().string("reason", o.reason()).bytes();
        }
        return new JsonWriter()
                .string("reason", "it is not known whether the change was chosen; repeat the call with the same id")
                .bytes();
    }

    /**
     * Splits values into the parts of a snapshot, in order. There is at least one part, and each part of a
     * non-empty snapshot has at least one value.
     */
    static List<WatchEvent.SnapshotPart> splitSnapshot(long rev, SortedMap<String, String> values, int maxPartBytes) {
        List<SortedMap<String, String>> chunks = new ArrayList<>();
        SortedMap<String, String> chunk = new TreeMap<>();
        int chunkBytes = 0;
        for (Map.Entry<String, String> value : values.entrySet()) {
            int entryBytes = utf8Length(value.getKey()) + utf8Length(value.getValue()) + 4;
            if (!chunk.isEmpty() && chunkBytes + entryBytes > maxPartBytes) {
                chunks.add(chunk);
                chunk = new TreeMap<>();
                chunkBytes = 0;
            }
            chunk.put(value.getKey(), value.getValue());
            chunkBytes += entryBytes;
        }
        chunks.add(chunk);
        List<WatchEvent.SnapshotPart> parts = new ArrayList<>();
        for (int i = 0; i < chunks.size(); i++) {
            parts.add(new WatchEvent.SnapshotPart(rev, i + 1, chunks.size(), chunks.get(i)));
        }
        return parts;
    }

    // Decoding.

    /** Reads the fields of a JSON object and collects the errors. */
    private static final class JsonReader {
        private final Json json;
        private final String location;
        private final List<ValidationError> errors;

        JsonReader(Json json, String location, List<ValidationError> errors, String... knownFields) {
            this.json = json;
            this.location = location;
            this.errors = errors;
            if (!json.isObject()) {
                errors.add(new ValidationError(location.isEmpty() ? "body" : location, "is not an object"));
            }
            List<String> names = List.of(knownFields);
            json.fields().keySet().stream()
                    .filter(name -> !names.contains(name))
                    .sorted()
                    .forEach(name -> addError(name, "is unknown; known fields are " + String.join(", ", names)));
        }

        String locationOf(String name) {
            return location.isEmpty() ? name : location + "." + name;
        }

        void addError(String name, String reason) {
            errors.add(new ValidationError(locationOf(name), reason));
        }

        Json json(String name) {
            return json.path(name);
        }

        boolean has(String name) {
            return !json.path(name).isMissing();
        }

        long wholeNumber(String name, long min, long max) {
            Json field = json.path(name);
            long value = field.isLong() ? field.asLong(min - 1) : min - 1;
            if (!field.isLong() || value < min || value > max) {
                addError(name, field.isMissing() ? "is missing" : "is not a whole number from " + min + " to " + max);
                return min;
            }
            return value;
        }

        long rev(String name, long min) {
            return wholeNumber(name, min, MAX_WHOLE_NUMBER);
        }

        String string(String name) {
            Json field = json.path(name);
            if (!field.isString()) {
                addError(name, field.isMissing() ? "is missing" : "is not a string");
            }
            return field.asText();
        }

        Ballot ballot(String name) {
            List<Json> pair = json.path(name).values();
            if (pair.size() != 2
                    || !pair.get(0).isLong()
                    || !pair.get(1).isLong()
                    || pair.get(0).asLong(-1) < 0
                    || pair.get(1).asLong(-2) < -1
                    || pair.get(1).asLong(-2) > Integer.MAX_VALUE) {
                addError(name, "is not a ballot of the form [round, keeper]");
                return Ballot.NONE;
            }
            return new Ballot(pair.get(0).asLong(0), (int) pair.get(1).asLong(0));
        }

        SortedMap<String, String> values(String name) {
            SortedMap<String, String> values = new TreeMap<>();
            if (has(name) && !json(name).isObject()) {
                addError(name, "is not an object of paths and values");
            }
            json(name).fields().forEach((path, value) -> {
                if (value.isMissing()) {
                    errors.add(new ValidationError(path, "is null; list it in drop to remove it"));
                } else {
                    values.put(path, RolloutText.writeValue(value));
                }
                checkPath(path);
            });
            return values;
        }

        void checkPath(String path) {
            if (!PATH_PATTERN.matcher(path).matches() || path.length() > ProtocolParameters.MAX_PATH_LENGTH_CHARS) {
                errors.add(new ValidationError(
                        path,
                        "is not a path of a section, a slash and a name with at most "
                                + ProtocolParameters.MAX_PATH_LENGTH_CHARS + " characters"));
            }
        }

        SortedSet<String> stringSet(String name) {
            SortedSet<String> strings = new TreeSet<>();
            if (has(name) && !json(name).isList()) {
                addError(name, "is not a list");
            }
            for (Json each : json(name)) {
                if (!each.isString()) {
                    addError(name, "contains a value that is not a string: " + RolloutText.writeValue(each));
                } else if (!strings.add(each.asText())) {
                    addError(name, "contains a duplicate: " + each.asText());
                }
            }
            return strings;
        }

        List<Json> list(String name) {
            if (!json(name).isList()) {
                addError(name, has(name) ? "is not a list" : "is missing");
            }
            return json(name).values();
        }

        Change change(String name) {
            return RolloutText.readChangeObject(json(name), locationOf(name), errors);
        }

        Version version(String name) {
            return RolloutText.readVersionObject(json(name), locationOf(name), errors);
        }
    }

    private interface JsonDecoder<T> {
        T read(Json json, List<ValidationError> errors);
    }

    private static <T> ParseResult<T> read(byte[] text, JsonDecoder<T> decoder) {
        List<ValidationError> errors = new ArrayList<>();
        T value = null;
        try {
            value = decoder.read(Json.read(text), errors);
        } catch (IOException e) {
            errors.add(new ValidationError("body", "is not valid JSON: " + e.getMessage()));
        }
        return new ParseResult<>(errors.isEmpty() ? value : null, List.copyOf(errors));
    }

    private static Change readChangeObject(Json json, String location, List<ValidationError> errors) {
        JsonReader fields = new JsonReader(json, location, errors, "id", "base", "set", "drop");
        String id = fields.string("id");
        if (fields.json("id").isString() && !CHANGE_ID_PATTERN.matcher(id).matches()) {
            fields.addError("id", "is not 16 hex digits");
        }
        long base = fields.rev("base", 0);
        SortedMap<String, String> set = fields.values("set");
        SortedSet<String> drop = fields.stringSet("drop");
        drop.forEach(fields::checkPath);
        return new Change(id, base, set, drop);
    }

    private static Version readVersionObject(Json json, String location, List<ValidationError> errors) {
        JsonReader fields = new JsonReader(json, location, errors, "rev", "change");
        return new Version(fields.rev("rev", 1), fields.change("change"));
    }

    /** Parses an operator's change. */
    public static ParseResult<Change> readChange(byte[] text) {
        if (text.length > ProtocolParameters.MAX_CHANGE_BYTES) {
            return new ParseResult<>(
                    null,
                    List.of(new ValidationError(
                            "change",
                            "has " + text.length + " bytes; at most " + ProtocolParameters.MAX_CHANGE_BYTES
                                    + " are allowed")));
        }
        return read(text, (json, errors) -> readChangeObject(json, "", errors));
    }

    /** Parses an event of a watch without its line end. */
    public static ParseResult<WatchEvent> readWatchEvent(byte[] text) {
        if (text.length == 0) {
            return new ParseResult<>(new WatchEvent.Heartbeat(), List.of());
        }
        return read(text, (json, errors) -> {
            if (!json.path("alone").isMissing()) {
                JsonReader fields = new JsonReader(json, "", errors, "rev", "alone");
                if (!fields.json("alone").asBoolean()) {
                    fields.addError("alone", "is not true");
                }
                return new WatchEvent.NoQuorum(fields.rev("rev", 0));
            }
            if (!json.path("part").isMissing()) {
                JsonReader fields = new JsonReader(json, "", errors, "rev", "part", "of", "set");
                int of = (int) fields.wholeNumber("of", 1, ProtocolParameters.MAX_PATH_COUNT);
                return new WatchEvent.SnapshotPart(
                        fields.rev("rev", 1), (int) fields.wholeNumber("part", 1, of), of, fields.values("set"));
            }
            JsonReader fields = new JsonReader(json, "", errors, "rev", "set", "drop");
            SortedSet<String> drop = fields.stringSet("drop");
            drop.forEach(fields::checkPath);
            return new WatchEvent.Update(fields.rev("rev", 1), fields.values("set"), drop);
        });
    }

    private static Report readReportObject(Json json, String location, List<ValidationError> errors) {
        JsonReader fields = new JsonReader(json, location, errors, "node", "life", "rev", "waits_restart", "refused");
        List<Report.Rejection> rejections = new ArrayList<>();
        for (Json each : fields.list("refused")) {
            JsonReader rejection = new JsonReader(each, fields.locationOf("refused"), errors, "rev", "path", "reason");
            rejections.add(new Report.Rejection(
                    rejection.rev("rev", 1), rejection.string("path"), rejection.string("reason")));
        }
        SortedSet<String> pendingRestart = fields.stringSet("waits_restart");
        if (rejections.size() > ProtocolParameters.MAX_REPORTED_COUNT
                || pendingRestart.size() > ProtocolParameters.MAX_REPORTED_COUNT) {
            fields.addError(
                    "refused",
                    "or waits_restart has more entries than the limit of " + ProtocolParameters.MAX_REPORTED_COUNT);
        }
        return new Report(
                (int) fields.wholeNumber("node", 0, Integer.MAX_VALUE),
                fields.wholeNumber("life", 0, MAX_WHOLE_NUMBER),
                fields.rev("rev", 0),
                pendingRestart,
                List.copyOf(rejections));
    }

    /** Parses a node's report. */
    public static ParseResult<Report> readReport(byte[] text) {
        return read(text, (json, errors) -> readReportObject(json, "", errors));
    }

    /** Parses the rows of an inventory. */
    public static ParseResult<List<Inventory.Row>> readRows(byte[] text) {
        return read(text, (json, errors) -> {
            JsonReader fields = new JsonReader(json, "", errors, "rows");
            List<Inventory.Row> rows = new ArrayList<>();
            for (Json each : fields.list("rows")) {
                JsonReader row = new JsonReader(each, "rows", errors, "age_us", "report");
                rows.add(new Inventory.Row(
                        readReportObject(row.json("report"), "rows.report", errors),
                        row.wholeNumber("age_us", 0, MAX_WHOLE_NUMBER)));
            }
            return List.copyOf(rows);
        });
    }

    /** Parses a request between keepers. */
    public static ParseResult<Request> readRequest(byte[] text) {
        return read(text, (json, errors) -> switch (json.path("kind").asText()) {
            case "prepare" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "ballot");
                yield new Request.Prepare(fields.rev("rev", 1), fields.ballot("ballot"));
            }
            case "accept" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "ballot", "value");
                yield new Request.Accept(fields.rev("rev", 1), fields.ballot("ballot"), fields.change("value"));
            }
            case "chosen" -> new Request.Chosen(new JsonReader(json, "", errors, "kind", "version").version("version"));
            case "ask" -> new Request.Fetch(new JsonReader(json, "", errors, "kind", "after").rev("after", 0));
            default -> {
                errors.add(new ValidationError("kind", "is not one of prepare, accept, chosen, ask"));
                yield null;
            }
        });
    }

    /** Parses a response between keepers. */
    public static ParseResult<Response> readResponse(byte[] text) {
        return read(text, (json, errors) -> switch (json.path("kind").asText()) {
            case "promised" -> {
                JsonReader fields =
                        new JsonReader(json, "", errors, "kind", "rev", "ballot", "accepted_at", "accepted");
                boolean hasAccepted = fields.has("accepted") || fields.has("accepted_at");
                yield new Response.Promised(
                        fields.rev("rev", 1),
                        fields.ballot("ballot"),
                        hasAccepted ? fields.ballot("accepted_at") : Ballot.NONE,
                        hasAccepted ? fields.change("accepted") : null);
            }
            case "accepted" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "ballot");
                yield new Response.Accepted(fields.rev("rev", 1), fields.ballot("ballot"));
            }
            case "refused" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "ballot", "promised");
                yield new Response.Rejected(fields.rev("rev", 1), fields.ballot("ballot"), fields.ballot("promised"));
            }
            case "behind" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "known");
                yield new Response.Behind(fields.rev("rev", 1), fields.rev("known", 0));
            }
            case "known" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "after", "known", "versions");
                List<Version> versions = new ArrayList<>();
                fields.list("versions").forEach(each -> versions.add(readVersionObject(each, "versions", errors)));
                if (versions.size() > ProtocolParameters.MAX_RESPONSE_VERSION_COUNT) {
                    fields.addError(
                            "versions",
                            "has more entries than the limit of " + ProtocolParameters.MAX_RESPONSE_VERSION_COUNT);
                }
                yield new Response.Versions(fields.rev("after", 0), fields.rev("known", 0), List.copyOf(versions));
            }
            case "whole" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "known", "values");
                yield new Response.Snapshot(fields.rev("known", 1), fields.values("values"));
            }
            default -> {
                errors.add(
                        new ValidationError("kind", "is not one of promised, accepted, refused, behind, known, whole"));
                yield null;
            }
        });
    }

    /** Parses a record of a keeper's log. */
    public static ParseResult<LogRecord> readLogRecord(byte[] text) {
        return read(text, (json, errors) -> switch (json.path("kind").asText()) {
            case "chosen" ->
                new LogRecord.Chosen(new JsonReader(json, "", errors, "kind", "version").version("version"));
            case "whole" -> {
                JsonReader fields = new JsonReader(json, "", errors, "kind", "rev", "values");
                yield new LogRecord.Snapshot(fields.rev("rev", 1), fields.values("values"));
            }
            case "voted" -> {
                JsonReader fields =
                        new JsonReader(json, "", errors, "kind", "rev", "promised", "accepted_at", "accepted");
                boolean hasAccepted = fields.has("accepted") || fields.has("accepted_at");
                yield new LogRecord.Voted(new Vote(
                        fields.rev("rev", 1),
                        fields.ballot("promised"),
                        hasAccepted ? fields.ballot("accepted_at") : Ballot.NONE,
                        hasAccepted ? fields.change("accepted") : null));
            }
            default -> {
                errors.add(new ValidationError("kind", "is not one of chosen, whole, voted"));
                yield null;
            }
        });
    }

    /**
     * Parses the voters of a configuration; returns null unless there is an odd number of them, at most
     * {@link ProtocolParameters#MAX_VOTER_COUNT}, with each keeper at most once.
     */
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
