package kitemux.drill;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;

/**
 * What was done and seen in a drill: an event a line, as JSON, in order of time. {@code t} is in microseconds
 * of the run's time, {@code e} says what happened; {@code docs/operate/drill.md} has all. One thread writes.
 */
final class Timeline implements AutoCloseable {
    private static final JsonFactory JSON = new JsonFactory();

    private final JsonGenerator json;
    private final LongSupplier nowUs;

    /** What an event tells besides its time and kind. */
    interface Fields {
        void to(JsonGenerator json) throws IOException;
    }

    /**
     * Begins one.
     *
     * @param nowUs the run's time
     */
    Timeline(Path file, LongSupplier nowUs) throws IOException {
        BufferedWriter out = Files.newBufferedWriter(file);
        json = JSON.createGenerator(out).setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        this.nowUs = nowUs;
    }

    void event(String kind, Fields fields) {
        try {
            json.writeStartObject();
            json.writeNumberField("t", nowUs.getAsLong());
            json.writeStringField("e", kind);
            fields.to(json);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        json.close();
    }
}
