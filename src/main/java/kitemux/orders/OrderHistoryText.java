package kitemux.orders;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.Entry.Result;
import kitemux.orders.OrderHistory.Attempt;

/** Formats order histories for support staff and tools: as a sentence, a line of JSON or a line of CSV. */
public final class OrderHistoryText {
    /** The header line of a CSV export. */
    public static final String CSV_HEADER =
            "order,class,tenant,key,taken,state,server,endpoint,sent,result,ended,answer,answered," + "body_sha256";

    private static final JsonFactory JSON = new JsonFactory();

    private OrderHistoryText() {}

    /**
     * Formats a history as a sentence in English.
     *
     * @param isLive whether the node that writes the journal is running
     */
    public static String toSentence(OrderHistory history, boolean isLive) {
        Accepted accepted = history.accepted();
        StringBuilder text = new StringBuilder("order ")
                .append(accepted.orderId())
                .append(" (")
                .append(accepted.requestClass());
        if (!accepted.tenant().isEmpty()) {
            text.append(", ").append(accepted.tenant());
        }
        if (!accepted.key().isEmpty()) {
            text.append(", ").append(accepted.key());
        }
        text.append("), taken ")
                .append(formatTime(accepted.atUs()))
                .append(": ")
                .append(describeState(history, isLive));
        if (history.answered() != null) {
            text.append("; the client ")
                    .append(
                            switch (history.answered().answer()) {
                                case SERVED -> "was served";
                                case REFUSED -> "was told to try again";
                                case FAILED, BROKEN -> "was told that it failed";
                                case LEFT -> "had left";
                            })
                    .append(" at ")
                    .append(formatTime(history.answered().atUs()));
        }
        return text.toString();
    }

    private static String describeState(OrderHistory history, boolean isLive) {
        Attempt attempt = history.decisiveAttempt();
        return switch (history.state(isLive)) {
            case NEVER_SENT -> "never sent";
            case REFUSED -> "refused, no server ran it";
            case UNDER_WAY -> attempt == null ? "under way, not sent yet" : "under way, " + describeSend(attempt);
            case UNKNOWN -> describeSend(attempt) + ", answer unknown";
            case ANSWERED ->
                describeSend(attempt) + ", answered " + describeResult(attempt) + " at "
                        + formatTime(attempt.ended().atUs());
        };
    }

    private static String describeSend(Attempt attempt) {
        return "sent to " + attempt.intent().server()
                + (attempt.intent().endpoint().isEmpty()
                        ? ""
                        : " (" + attempt.intent().endpoint() + ")")
                + " at " + formatTime(attempt.intent().atUs());
    }

    private static String describeResult(Attempt attempt) {
        return attempt.ended().result() == Result.OK ? "200" : "with an error";
    }

    static String formatTime(long us) {
        return Instant.EPOCH.plus(us, ChronoUnit.MICROS).toString();
    }

    /**
     * Formats a history as one line of JSON.
     *
     * @param isLive whether the node that writes the journal is running
     */
    public static String toJson(OrderHistory history, boolean isLive) {
        return toJson(history, isLive, DuplicateMatch.NONE);
    }

    /**
     * Formats a history as one line of JSON, with the field "kin" if the order may be a duplicate of another one.
     *
     * @param isLive whether the node that writes the journal is running
     * @param match how the order matches the one that was looked up
     */
    public static String toJson(OrderHistory history, boolean isLive, DuplicateMatch match) {
        StringWriter line = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(line)) {
            Accepted accepted = history.accepted();
            out.writeStartObject();
            if (match != DuplicateMatch.NONE) {
                out.writeStringField("kin", match.name().toLowerCase(Locale.ROOT));
            }
            out.writeStringField("order", accepted.orderId());
            out.writeStringField("class", accepted.requestClass());
            out.writeStringField("tenant", accepted.tenant());
            out.writeStringField("key", accepted.key());
            out.writeStringField("idempotencyKey", accepted.idempotencyKey());
            out.writeStringField("taken", formatTime(accepted.atUs()));
            out.writeStringField("state", history.state(isLive).name().toLowerCase(Locale.ROOT));
            out.writeArrayFieldStart("attempts");
            for (Attempt attempt : history.attempts()) {
                out.writeStartObject();
                out.writeStringField("server", attempt.intent().server());
                out.writeStringField("endpoint", attempt.intent().endpoint());
                out.writeStringField("sent", formatTime(attempt.intent().atUs()));
                if (attempt.ended() != null) {
                    out.writeStringField(
                            "result", attempt.ended().result().name().toLowerCase(Locale.ROOT));
                    out.writeBooleanField("mayHaveRun", attempt.ended().mayHaveRun());
                    out.writeStringField("ended", formatTime(attempt.ended().atUs()));
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            if (history.answered() != null) {
                out.writeStringField(
                        "answer", history.answered().answer().name().toLowerCase(Locale.ROOT));
                out.writeStringField("answered", formatTime(history.answered().atUs()));
            }
            out.writeNumberField("bodyBytes", accepted.bodyBytes());
            out.writeStringField("bodySha256", accepted.digest().toString());
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("the history could not be formatted in memory", e);
        }
        return line.toString();
    }

    /**
     * Formats a history as one line of CSV (RFC 4180) with the columns of {@link #CSV_HEADER}. The columns on
     * an attempt are those of {@link OrderHistory#decisiveAttempt}.
     *
     * @param isLive whether the node that writes the journal is running
     */
    public static String toCsv(OrderHistory history, boolean isLive) {
        Accepted accepted = history.accepted();
        Attempt attempt = history.decisiveAttempt();
        boolean isEnded = attempt != null && attempt.ended() != null;
        return String.join(
                ",",
                csvCell(accepted.orderId()),
                csvCell(accepted.requestClass()),
                csvCell(accepted.tenant()),
                csvCell(accepted.key()),
                formatTime(accepted.atUs()),
                history.state(isLive).name().toLowerCase(Locale.ROOT),
                attempt == null ? "" : csvCell(attempt.intent().server()),
                attempt == null ? "" : csvCell(attempt.intent().endpoint()),
                attempt == null ? "" : formatTime(attempt.intent().atUs()),
                isEnded ? attempt.ended().result().name().toLowerCase(Locale.ROOT) : "",
                isEnded ? formatTime(attempt.ended().atUs()) : "",
                history.answered() == null
                        ? ""
                        : history.answered().answer().name().toLowerCase(Locale.ROOT),
                history.answered() == null ? "" : formatTime(history.answered().atUs()),
                accepted.digest().toString());
    }

    private static String csvCell(String text) {
        // Prevents CSV injection: a spreadsheet must not evaluate a text that a client sent as a formula.
        String escaped = !text.isEmpty() && "=+-@\t\r".indexOf(text.charAt(0)) >= 0 ? "'" + text : text;
        return escaped.matches("(?s).*[\",\r\n].*") ? '"' + escaped.replace("\"", "\"\"") + '"' : escaped;
    }
}
