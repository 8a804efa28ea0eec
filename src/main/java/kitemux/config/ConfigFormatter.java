package kitemux.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;

/**
 * Writes what a node is told, in the platform's form, and lists of servers in discovery's. What is written
 * is read
 * again as it was; the same gives the same bytes.
 */
public final class ConfigFormatter {
    private static final JsonFactory JSON = new JsonFactory();

    private ConfigFormatter() {}

    /**
     * A node, besides its settings.
     *
     * @param listen address and port, as {@code discovery}
     * @param seed 1 to 16 hex digits
     * @param sockets descriptors that it may hold
     * @param memoryMiB of its process; 0 for no word of it
     * @param connIdleUs after which servers close idle connections
     */
    public record NodeDescription(
            String name, String listen, String discovery, String seed, int sockets, int memoryMiB, long connIdleUs) {}

    /** A server and where it listens. */
    public record Server(ServerEntry entry, String endpoint) {}

    /** A configuration of a node that begins with these servers. */
    public static String formatNode(NodeDescription node, Settings set, List<Server> known) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            // Else lines would end as the system's do, and bytes differ.
            json.setPrettyPrinter(new DefaultPrettyPrinter().withObjectIndenter(new DefaultIndenter("  ", "\n")));
            json.writeStartObject();
            json.writeStringField("name", node.name);
            json.writeStringField("listen", node.listen);
            json.writeStringField("discovery", node.discovery);
            json.writeStringField("seed", node.seed);
            json.writeObjectFieldStart("limits");
            json.writeNumberField("sockets", node.sockets);
            if (node.memoryMiB > 0) {
                json.writeNumberField("memory_mb", node.memoryMiB);
            }
            json.writeEndObject();
            json.writeFieldName("known");
            formatServerList(json, 1, true, set.zones, known);
            json.writeObjectFieldStart("settings");
            settings(json, set, node.connIdleUs);
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    /** A list of servers, or changes of one, as a line without its end. */
    public static String formatServerList(long rev, boolean all, List<String> zones, List<Server> servers) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            formatServerList(json, rev, all, zones, servers);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void formatServerList(
            JsonGenerator json, long rev, boolean all, List<String> zones, List<Server> servers) throws IOException {
        json.writeStartObject();
        json.writeNumberField("rev", rev);
        json.writeBooleanField("all", all);
        json.writeArrayFieldStart("targets");
        for (Server server : servers) {
            ServerEntry entry = server.entry;
            json.writeStartObject();
            json.writeStringField("uid", entry.id());
            json.writeStringField("endpoint", server.endpoint);
            json.writeStringField("az", zones.get(entry.zone()));
            json.writeStringField("model", "described");
            json.writeNumberField("pod_group", entry.cell());
            json.writeStringField(
                    "state",
                    switch (entry.state()) {
                        case READY -> "Ready";
                        case DRAINING -> "Terminating";
                        case GONE -> "Gone";
                    });
            json.writeNumberField("capacity_hint", entry.weight());
            json.writeNumberField("boot_ms", entry.startedAtUs() / 1_000);
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void settings(JsonGenerator json, Settings set, long connIdleUs) throws IOException {
        json.writeNumberField("balancers", set.nodes);
        json.writeNumberField("me", set.nodeIndex);
        json.writeArrayFieldStart("zones");
        for (String zone : set.zones) {
            json.writeString(zone);
        }
        json.writeEndArray();
        json.writeStringField("myZone", set.zones.get(set.myZone));
        json.writeStringField("membershipMode", set.listOnRequest ? "on_request" : "pushed");
        json.writeNumberField("overShareWorth", set.overShareWorth);
        json.writeObjectFieldStart("limits");
        json.writeNumberField("attemptsCap", set.maxAttempts);
        json.writeBooleanField("cancelling", set.cancellationAllowed);
        json.writeBooleanField("parallelTries", set.hedgingAllowed);
        json.writeBooleanField("retryAfter", set.maxRetryAfterUs > 0);
        json.writeNumberField("maxRetryAfterUs", set.maxRetryAfterUs);
        json.writeNumberField("dialTimeoutUs", set.connectTimeoutUs);
        json.writeNumberField("connIdleUs", connIdleUs);
        json.writeEndObject();
        json.writeObjectFieldStart("rules");
        json.writeNumberField("drainGraceUs", set.drainGraceUs);
        json.writeNumberField("coldFrom", set.coldCapacityRatio);
        json.writeNumberField("coldUs", set.warmUpUs);
        json.writeNumberField("overloadFactor", set.overloadRatio);
        json.writeNumberField("fallUs", set.overloadWindowUs);
        json.writeEndObject();
        json.writeArrayFieldStart("realms");
        for (Tenant tenant : set.tenants) {
            json.writeStartObject();
            json.writeStringField("name", tenant.name());
            json.writeNumberField("quotaPerS", tenant.quotaPerS());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("classes");
        for (RequestClass of : set.classes) {
            json.writeStartObject();
            json.writeStringField("name", of.name());
            json.writeNumberField("onTimeUs", of.targetLatencyUs());
            json.writeNumberField("giveUpUs", of.deadlineUs());
            json.writeNumberField("importance", of.worth());
            json.writeNumberField("lateWorth", of.lateWorth());
            json.writeStringField("repeat", of.retrySafety().name().toLowerCase(Locale.ROOT));
            if (of.retrySafety() == RetrySafety.KEYED) {
                json.writeStringField("group", of.dedupScope().name().toLowerCase(Locale.ROOT));
                json.writeNumberField("windowUs", of.dedupWindowUs());
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }
}
