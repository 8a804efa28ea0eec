package kitemux.keeper;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import kitemux.rollout.Inventory;
import kitemux.rollout.Inventory.NodeStatus;
import kitemux.rollout.Report;
import kitemux.rollout.ValidationError;

/** What a keeper tells operators, as JSON: how nodes stand to a version, and what is wrong with a call. */
final class StatusText {
    private static final JsonFactory JSON = new JsonFactory();

    private StatusText() {}

    /** Writes the fields of an object. */
    private interface Fields {
        void to(JsonGenerator json) throws IOException;
    }

    private static byte[] object(Fields fields) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            fields.to(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }

    /** One thing that is wrong with a call. */
    static byte[] fault(String path, String reason) {
        return faults(List.of(new ValidationError(path, reason)));
    }

    /** All that is wrong with a call, each with its path. */
    static byte[] faults(List<ValidationError> faults) {
        return object(json -> {
            json.writeArrayFieldStart("faults");
            for (ValidationError fault : faults) {
                json.writeStartObject();
                json.writeStringField("path", fault.path());
                json.writeStringField("reason", fault.reason());
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    /** Why something cannot be done now. */
    static byte[] reason(String reason) {
        return object(json -> json.writeStringField("reason", reason));
    }

    /**
     * What is said of the keeper that was asked.
     *
     * @param identity of its folder
     * @param newest version that it knows
     * @param votes whether the voters name it
     * @param caughtUp whether it serves watches and changes
     * @param alone whether it hears no majority of the voters
     * @param notHeard numbers of keepers whose inventories did not come: what only they know is missing
     * @param figures counters by name
     */
    record Keeper(
            int number,
            String identity,
            long newest,
            boolean votes,
            boolean caughtUp,
            boolean alone,
            List<Integer> notHeard,
            SortedMap<String, Long> figures) {}

    /** How nodes stand to a version. */
    static byte[] status(
            long rev, Map<NodeStatus, List<Integer>> standing, Map<Integer, Inventory.Row> rows, Keeper keeper) {
        return object(json -> {
            json.writeNumberField("rev", rev);
            json.writeNumberField("newest", keeper.newest);
            nodes(json, "in_force", standing.get(NodeStatus.IN_FORCE));
            nodes(json, "waits_restart", standing.get(NodeStatus.WAITS_RESTART));
            nodes(json, "behind", standing.get(NodeStatus.BEHIND));
            nodes(json, "refused", standing.get(NodeStatus.REFUSED));
            nodes(json, "silent", standing.get(NodeStatus.SILENT));
            nodes(json, "not_heard", standing.get(NodeStatus.UNHEARD));
            json.writeArrayFieldStart("refusals");
            for (int node : standing.get(NodeStatus.REFUSED)) {
                for (Report.Rejection refusal : rows.get(node).report().rejections()) {
                    json.writeStartObject();
                    json.writeNumberField("node", node);
                    json.writeNumberField("rev", refusal.rev());
                    json.writeStringField("path", refusal.path());
                    json.writeStringField("reason", refusal.reason());
                    json.writeEndObject();
                }
            }
            json.writeEndArray();
            json.writeObjectFieldStart("keeper");
            json.writeNumberField("number", keeper.number);
            json.writeStringField("identity", keeper.identity);
            json.writeBooleanField("votes", keeper.votes);
            json.writeBooleanField("caught_up", keeper.caughtUp);
            json.writeBooleanField("alone", keeper.alone);
            json.writeArrayFieldStart("keepers_not_heard");
            for (int number : keeper.notHeard) {
                json.writeNumber(number);
            }
            json.writeEndArray();
            for (Map.Entry<String, Long> figure : keeper.figures.entrySet()) {
                json.writeNumberField(figure.getKey(), figure.getValue());
            }
            json.writeEndObject();
        });
    }

    private static void nodes(JsonGenerator json, String name, List<Integer> nodes) throws IOException {
        json.writeObjectFieldStart(name);
        json.writeNumberField("count", nodes.size());
        json.writeArrayFieldStart("nodes");
        for (int node : nodes) {
            json.writeNumber(node);
        }
        json.writeEndArray();
        json.writeEndObject();
    }
}
