package kitemux.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import kitemux.config.ConfigException;
import kitemux.config.Json;
import kitemux.net.Addresses;
import kitemux.net.HostList;

/** Encodes the servers that discovery has told as its own JSON list, with fields that say who told them and when. */
public final class ToldServersCodec {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int BYTES_PER_SERVER = 160;

    private final List<String> zones;

    /** Creates a codec for servers whose zones are indexed by their position in this list. */
    public ToldServersCodec(List<String> zones) {
        this.zones = List.copyOf(zones);
    }

    /** Encodes the servers in UTF-8. */
    public byte[] encode(ToldServers told) {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(BYTES_PER_SERVER * (told.hosts().size() + 1));
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("discovery", Addresses.format(told.discovery()));
            json.writeNumberField("known_rev", told.knownRevision());
            json.writeNumberField("told_us", told.toldUs());
            json.writeNumberField("rev", told.revision());
            json.writeBooleanField("all", true);
            json.writeArrayFieldStart("targets");
            for (HostList.Host host : told.hosts()) {
                writeHost(json, host);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private void writeHost(JsonGenerator json, HostList.Host host) throws IOException {
        ServerEntry entry = host.entry();
        json.writeStartObject();
        json.writeStringField("uid", entry.id());
        json.writeStringField("endpoint", Addresses.format(host.endpoint()));
        json.writeStringField("az", entry.zone() < 0 ? "" : zones.get(entry.zone()));
        json.writeNumberField("pod_group", entry.cell());
        json.writeStringField("state", entry.state() == ServerState.READY ? "Ready" : "Terminating");
        json.writeNumberField("capacity_hint", entry.weight());
        json.writeNumberField("boot_ms", entry.startedAtUs() / 1_000);
        json.writeEndObject();
    }

    /**
     * Decodes servers that a process of the node has encoded.
     *
     * @throws IOException if the text is not JSON
     * @throws ConfigException if a field is missing or malformed; the message names it
     */
    public ToldServers decode(byte[] text) throws IOException, ConfigException {
        Json json = Json.read(text);
        for (String field : List.of("known_rev", "told_us")) {
            if (!json.path(field).isLong()) {
                throw new ConfigException(field, "is missing or not a whole number");
            }
        }
        HostList list = HostListReader.read(json, zones, "");
        if (list.hosts().stream().anyMatch(host -> host.entry().state() == ServerState.GONE)) {
            throw new ConfigException("targets", "has a server that is gone");
        }
        return new ToldServers(
                Addresses.parse("discovery", json.path("discovery").asText()),
                list.revision(),
                json.path("known_rev").asLong(0),
                json.path("told_us").asLong(0),
                list.hosts());
    }
}
