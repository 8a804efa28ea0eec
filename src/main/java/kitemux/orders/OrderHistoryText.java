package kitemux.orders;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import kitemux.orders.Entry.Result;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.OrderHistory.Attempt;

/** Stories as the desk reads them: a sentence, a line of JSON or a line of CSV. */
public final class OrderHistoryText {
    /** The first line of an export as CSV. */
    public static final String CSV_HEADER =
            "order,class,tenant,key,taken,state,server,endpoint,sent,result,ended,answer,answered," + "body_sha256";

    private static final JsonFactory JSON = new JsonFactory();

    private OrderHistoryText() {}

    /** A sentence. */
    public static String toSentence(OrderHistory story, boolean live) {
        Accepted taken = story.accepted();
        StringBuilder text =
                new StringBuilder("order ").append(taken.orderId()).append(" (").append(taken.requestClass());
        if (!taken.tenant().isEmpty()) {
            text.append(", ").append(taken.tenant());
        }
        if (!taken.key().isEmpty()) {
            text.append(", ").append(taken.key());
        }
        text.append("), taken ").append(time(taken.atUs())).append(": ").append(fate(story, live));
        if (story.answered() != null) {
            text.append("; the client ")
                    .append(
                            switch (story.answered().answer()) {
                                case SERVED -> "was served";
                                case REFUSED -> "was told to try again";
                                case FAILED, BROKEN -> "was told that it failed";
                                case LEFT -> "had left";
                            })
                    .append(" at ")
                    .append(time(story.answered().atUs()));
        }
        return text.toString();
    }

    private static String fate(OrderHistory story, boolean live) {
        Attempt attempt = story.decisiveAttempt();
        return switch (story.state(live)) {
            case NEVER_SENT -> "never sent";
            case REFUSED -> "refused, no server ran it";
            case UNDER_WAY -> attempt == null ? "under way, not sent yet" : "under way, " + sent(attempt);
            case UNKNOWN -> sent(attempt) + ", answer unknown";
            case ANSWERED ->
                sent(attempt) + ", answered " + status(attempt) + " at "
                        + time(attempt.ended().atUs());
        };
    }

    private static String sent(Attempt attempt) {
        return "sent to " + attempt.intent().server()
                + (attempt.intent().endpoint().isEmpty()
                        ? ""
                        : " (" + attempt.intent().endpoint() + ")")
                + " at " + time(attempt.intent().atUs());
    }

    private static String status(Attempt attempt) {
        return attempt.ended().result() == Result.OK ? "200" : "with an error";
    }

    static String time(long us) {
        return Instant.EPOCH.plus(us, ChronoUnit.MICROS).toString();
    }

    /** One line of JSON. */
    public static String toJson(OrderHistory story, boolean live) {
        return toJson(story, live, DuplicateMatch.NONE);
    }

    /** One line of JSON, of an order that is kin to one that was asked for. */
    public static String toJson(OrderHistory story, boolean live, DuplicateMatch kin) {
        StringWriter line = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(line)) {
            Accepted taken = story.accepted();
            out.writeStartObject();
            if (kin != DuplicateMatch.NONE) {
                out.writeStringField("kin", kin.name().toLowerCase(Locale.ROOT));
            }
            out.writeStringField("order", taken.orderId());
            out.writeStringField("class", taken.requestClass());
            out.writeStringField("tenant", taken.tenant());
            out.writeStringField("key", taken.key());
            out.writeStringField("idempotencyKey", taken.idempotencyKey());
            out.writeStringField("taken", time(taken.atUs()));
            out.writeStringField("state", story.state(live).name().toLowerCase(Locale.ROOT));
            out.writeArrayFieldStart("attempts");
            for (Attempt attempt : story.attempts()) {
                out.writeStartObject();
                out.writeStringField("server", attempt.intent().server());
                out.writeStringField("endpoint", attempt.intent().endpoint());
                out.writeStringField("sent", time(attempt.intent().atUs()));
                if (attempt.ended() != null) {
                    out.writeStringField(
                            "result", attempt.ended().result().name().toLowerCase(Locale.ROOT));
                    out.writeBooleanField("mayHaveRun", attempt.ended().mayHaveRun());
                    out.writeStringField("ended", time(attempt.ended().atUs()));
                }
                out.writeEndObject();
            }
            out.writeEndArray();
            if (story.answered() != null) {
                out.writeStringField("answer", story.answered().answer().name().toLowerCase(Locale.ROOT));
                out.writeStringField("answered", time(story.answered().atUs()));
            }
            out.writeNumberField("bodyBytes", taken.bodyBytes());
            out.writeStringField("bodySha256", taken.digest().toString());
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("memory cannot be written", e);
        }
        return line.toString();
    }

    /**
     * One line of CSV (RFC 4180), as {@link #CSV_HEADER} names the columns; of attempts the one that tells
     * most.
     */
    public static String toCsv(OrderHistory story, boolean live) {
        Accepted taken = story.accepted();
        Attempt attempt = story.decisiveAttempt();
        boolean over = attempt != null && attempt.ended() != null;
        return String.join(
                ",",
                cell(taken.orderId()),
                cell(taken.requestClass()),
                cell(taken.tenant()),
                cell(taken.key()),
                time(taken.atUs()),
                story.state(live).name().toLowerCase(Locale.ROOT),
                attempt == null ? "" : cell(attempt.intent().server()),
                attempt == null ? "" : cell(attempt.intent().endpoint()),
                attempt == null ? "" : time(attempt.intent().atUs()),
                over ? attempt.ended().result().name().toLowerCase(Locale.ROOT) : "",
                over ? time(attempt.ended().atUs()) : "",
                story.answered() == null ? "" : story.answered().answer().name().toLowerCase(Locale.ROOT),
                story.answered() == null ? "" : time(story.answered().atUs()),
                taken.digest().toString());
    }

    private static String cell(String text) {
        // What a client chose must not become a formula where the desk opens the file in a spreadsheet.
        String safe = !text.isEmpty() && "=+-@\t\r".indexOf(text.charAt(0)) >= 0 ? "'" + text : text;
        return safe.matches("(?s).*[\",\r\n].*") ? '"' + safe.replace("\"", "\"\"") + '"' : safe;
    }
}
