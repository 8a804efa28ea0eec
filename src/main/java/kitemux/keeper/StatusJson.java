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

/** Encodes the JSON answers of a keeper to operators: the status of nodes for a version, and the errors of a call. */
final class StatusJson {
    private static final JsonFactory JSON = new JsonFactory();

    private StatusJson() {}

    /** Writes the fields of an object. */
    private interface ObjectWriter {
        void writeTo(JsonGenerator json) throws IOException;
    }

    private static byte[] writeObject(ObjectWriter writer) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            writer.writeTo(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }

    /** Encodes a single error of a call. */
    static byte[] error(String path, String reason) {
        return errors(List.of(new ValidationError(path, reason)));
    }

    /** Encodes all errors of a call, each with its path. */
    static byte[] errors(List<ValidationError> errors) {
        return writeObject(json -> {
            json.writeArrayFieldStart("faults");
            for (ValidationError error : errors) {
                json.writeStartObject();
                json.writeStringField("path", error.path());
                json.writeStringField("reason", error.reason());
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }

    /** Encodes the reason why a call cannot be served now. */
    static byte[] reason(String reason) {
        return writeObject(json -> json.writeStringField("reason", reason));
    }

    /**
     * Status of the keeper that answers.
     *
     * @param number number of this keeper
     *
     * @param identity identity of its folder
     * @param newestRev newest version that it knows
     * @param isVoter whether it is one of the voters
     * @param isCaughtUp whether it serves watches and changes
     * @param lacksQuorum whether it cannot reach a majority of the voters
     * @param unreachableKeepers numbers of keepers whose inventories are missing; the status lacks the reports that
     *     only they have
     * @param counters counters by name
     */
    record KeeperStatus(
            int number,
            String identity,
            long newestRev,
            boolean isVoter,
            boolean isCaughtUp,
            boolean lacksQuorum,
            List<Integer> unreachableKeepers,
            SortedMap<String, Long> counters) {}

    /** Encodes the status of all nodes for a version. */
    static byte[] status(
            long rev,
            Map<NodeStatus, List<Integer>> nodesByStatus,
            Map<Integer, Inventory.Row> rows,
            KeeperStatus keeper) {
        return writeObject(json -> {
            json.writeNumberField("rev", rev);
            json.writeNumberField("newest", keeper.newestRev);
            writeNodes(json, "in_force", nodesByStatus.get(NodeStatus.IN_FORCE));
            writeNodes(json, "waits_restart", nodesByStatus.get(NodeStatus.WAITS_RESTART));
            writeNodes(json, "behind", nodesByStatus.get(NodeStatus.BEHIND));
            writeNodes(json, "refused", nodesByStatus.get(NodeStatus.REFUSED));
            writeNodes(json, "silent", nodesByStatus.get(NodeStatus.SILENT));
            writeNodes(json, "not_heard", nodesByStatus.get(NodeStatus.UNHEARD));
            json.writeArrayFieldStart("refusals");
            for (int node : nodesByStatus.get(NodeStatus.REFUSED)) {
                for (Report.Rejection rejection : rows.get(node).report().rejections()) {
                    json.writeStartObject();
                    json.writeNumberField("node", node);
                    json.writeNumberField("rev", rejection.rev());
                    json.writeStringField("path", rejection.path());
                    json.writeStringField("reason", rejection.reason());
                    json.writeEndObject();
                }
            }
            json.writeEndArray();
            json.writeObjectFieldStart("keeper");
            json.writeNumberField("number", keeper.number);
            json.writeStringField("identity", keeper.identity);
            json.writeBooleanField("votes", keeper.isVoter);
            json.writeBooleanField("caught_up", keeper.isCaughtUp);
            json.writeBooleanField("alone", keeper.lacksQuorum);
            json.writeArrayFieldStart("keepers_not_heard");
            for (int number : keeper.unreachableKeepers) {
                json.writeNumber(number);
            }
            json.writeEndArray();
            for (Map.Entry<String, Long> counter : keeper.counters.entrySet()) {
                json.writeNumberField(counter.getKey(), counter.getValue());
            }
            json.writeEndObject();
        });
    }

    private static void writeNodes(JsonGenerator json, String name, List<Integer> nodes) throws IOException {
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
