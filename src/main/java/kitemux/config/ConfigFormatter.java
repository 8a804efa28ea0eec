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
 * Formats node configurations in the platform's format and server lists in discovery's. Reading the output gives the
 * same values again, and equal input gives equal bytes.
 */
public final class ConfigFormatter {
    private static final JsonFactory JSON = new JsonFactory();

    private ConfigFormatter() {}

    /**
     * A node's own values besides its settings.
     *
     * @param name name of the node
     * @param listen address and port for clients
     * @param discovery address and port of discovery
     * @param seed 1 to 16 hex digits
     * @param sockets limit of open descriptors
     * @param memoryMiB memory limit of the process; omitted if 0
     * @param connIdleUs idle time after which servers close connections, in microseconds
     */
    public record NodeDescription(
            String name, String listen, String discovery, String seed, int sockets, int memoryMiB, long connIdleUs) {}

    /** A server and its address. */
    public record Server(ServerEntry entry, String endpoint) {}

    /** Formats the configuration of a node that starts with these servers. */
    public static String formatNode(NodeDescription node, Settings settings, List<Server> known) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            // The platform's line separator would make the bytes differ between systems.
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
            formatServerList(json, 1, true, settings.zones, known);
            json.writeObjectFieldStart("settings");
            writeSettings(json, settings, node.connIdleUs);
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    /** Formats a server list, or changes of one, as one line without a line end. */
    public static String formatServerList(long revision, boolean full, List<String> zones, List<Server> servers) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            formatServerList(json, revision, full, zones, servers);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void formatServerList(
            JsonGenerator json, long revision, boolean full, List<String> zones, List<Server> servers)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("rev", revision);
        json.writeBooleanField("all", full);
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

    private static void writeSettings(JsonGenerator json, Settings settings, long connIdleUs) throws IOException {
        json.writeNumberField("balancers", settings.nodes);
        json.writeNumberField("me", settings.nodeIndex);
        json.writeArrayFieldStart("zones");
        for (String zone : settings.zones) {
            json.writeString(zone);
        }
        json.writeEndArray();
        json.writeStringField("myZone", settings.zones.get(settings.myZone));
        json.writeStringField("membershipMode", settings.listOnRequest ? "on_request" : "pushed");
        json.writeNumberField("overShareWorth", settings.overShareWorth);
        json.writeObjectFieldStart("limits");
        json.writeNumberField("attemptsCap", settings.maxAttempts);
        json.writeBooleanField("cancelling", settings.cancellationAllowed);
        json.writeBooleanField("parallelTries", settings.hedgingAllowed);
        json.writeBooleanField("retryAfter", settings.maxRetryAfterUs > 0);
        json.writeNumberField("maxRetryAfterUs", settings.maxRetryAfterUs);
        json.writeNumberField("dialTimeoutUs", settings.connectTimeoutUs);
        json.writeNumberField("connIdleUs", connIdleUs);
        json.writeEndObject();
        json.writeObjectFieldStart("rules");
        json.writeNumberField("drainGraceUs", settings.drainGraceUs);
        json.writeNumberField("coldFrom", settings.coldCapacityRatio);
        json.writeNumberField("coldUs", settings.warmUpUs);
        json.writeNumberField("overloadFactor", settings.overloadRatio);
        json.writeNumberField("fallUs", settings.overloadWindowUs);
        json.writeEndObject();
        json.writeArrayFieldStart("realms");
        for (Tenant tenant : settings.tenants) {
            json.writeStartObject();
            json.writeStringField("name", tenant.name());
            json.writeNumberField("quotaPerS", tenant.quotaPerS());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeArrayFieldStart("classes");
        for (RequestClass requestClass : settings.classes) {
            json.writeStartObject();
            json.writeStringField("name", requestClass.name());
            json.writeNumberField("onTimeUs", requestClass.targetLatencyUs());
            json.writeNumberField("giveUpUs", requestClass.deadlineUs());
            json.writeNumberField("importance", requestClass.worth());
            json.writeNumberField("lateWorth", requestClass.lateWorth());
            json.writeStringField("repeat", requestClass.retrySafety().name().toLowerCase(Locale.ROOT));
            if (requestClass.retrySafety() == RetrySafety.KEYED) {
                json.writeStringField("group", requestClass.dedupScope().name().toLowerCase(Locale.ROOT));
                json.writeNumberField("windowUs", requestClass.dedupWindowUs());
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }
}
