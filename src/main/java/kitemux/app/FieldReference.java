package kitemux.app;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/** The table of fields as people and editors read it: a page, and a JSON schema of descriptions. */
public final class FieldReference {
    private static final String DURATION_PATTERN = "^\\d+(\\.\\d+)?(us|ms|s|m|h)$";
    private static final String ADDRESS_PATTERN = "^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$";

    private FieldReference() {}

    /** One field in a line, as {@code explain} tells it. */
    public static String describe(Field field) {
        String range = field.range();
        return field.key() + ": " + field.kind().displayName() + (range.isEmpty() ? "" : ", " + range) + ", "
                + (field.defaultValue() == null ? "must be given" : "default " + displayDefault(field)) + ". "
                + field.description();
    }

    private static String displayDefault(Field field) {
        return field.defaultValue().isEmpty() ? "none" : field.defaultValue();
    }

    /** All fields by block, as a page. */
    public static String toMarkdown() {
        StringBuilder page = new StringBuilder("# All fields of a description\n\nMade by `config "
                + "reference` from the"
                + " table that descriptions are read by. Times carry a unit: `us`, `ms`, `s`, `m`, `h`.\n");
        Fields.blocks().forEach((block, description) -> {
            page.append("\n## ")
                    .append(
                            block.isEmpty()
                                    ? "Top"
                                    : Fields.isLabelled(block) ? "`" + block + " \"NAME\"`" : "`" + block + "`")
                    .append("\n\n")
                    .append(Character.toUpperCase(description.charAt(0)))
                    .append(description.substring(1))
                    .append(".\n\n| field | kind | range | default | |\n| --- | --- | --- |" + " --- | --- |\n");
            for (Field field : Fields.inBlock(block)) {
                page.append("| `")
                        .append(field.name())
                        .append("` | ")
                        .append(field.kind().displayName())
                        .append(" | ")
                        .append(field.range())
                        .append(" | ")
                        .append(field.defaultValue() == null ? "must be given" : displayDefault(field))
                        .append(" | ")
                        .append(field.description())
                        .append(" |\n");
            }
        });
        return page.toString();
    }

    /** A JSON schema (draft 2020-12) of what a description says, for editors that know HCL's JSON form. */
    public static String toJsonSchema() {
        StringWriter output = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(output)) {
            generator.setPrettyPrinter(new DefaultPrettyPrinter()
                    .withObjectIndenter(new DefaultIndenter("  ", "\n"))
                    .withArrayIndenter(new DefaultIndenter("  ", "\n")));
            generator.writeStartObject();
            generator.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            generator.writeStringField("title", "An application and the servers behind it");
            writeBlock(generator, "");
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output + "\n";
    }

    private static void writeBlock(JsonGenerator generator, String name) throws IOException {
        List<Field> fields = Fields.inBlock(name);
        generator.writeStringField("type", "object");
        generator.writeBooleanField("additionalProperties", false);
        generator.writeArrayFieldStart("required");
        for (Field field : fields) {
            if (field.defaultValue() == null) {
                generator.writeString(field.name());
            }
        }
        if (name.isEmpty()) {
            generator.writeString("class");
        }
        generator.writeEndArray();
        generator.writeObjectFieldStart("properties");
        for (Field field : fields) {
            generator.writeObjectFieldStart(field.name());
            writeField(generator, field);
            generator.writeEndObject();
        }
        if (name.isEmpty()) {
            for (Map.Entry<String, String> block : Fields.blocks().entrySet()) {
                if (!block.getKey().isEmpty()) {
                    writeBlockProperty(generator, block.getKey(), block.getValue());
                }
            }
        }
        generator.writeEndObject();
    }

    private static void writeBlockProperty(JsonGenerator generator, String block, String description)
            throws IOException {
        generator.writeObjectFieldStart(block);
        generator.writeStringField("description", description);
        if (Fields.isLabelled(block)) {
            generator.writeStringField("type", "object");
            generator.writeObjectFieldStart("additionalProperties");
            writeBlock(generator, block);
            generator.writeEndObject();
        } else {
            writeBlock(generator, block);
        }
        generator.writeEndObject();
    }

    private static void writeField(JsonGenerator generator, Field field) throws IOException {
        generator.writeStringField("description", field.description());
        switch (field.kind()) {
            case TEXT -> generator.writeStringField("type", "string");
            case ADDRESS -> writePattern(generator, ADDRESS_PATTERN);
            case DURATION -> writePattern(generator, DURATION_PATTERN);
            case BOOLEAN -> generator.writeStringField("type", "boolean");
            case TEXT_LIST -> {
                generator.writeStringField("type", "array");
                generator.writeObjectFieldStart("items");
                generator.writeStringField("type", "string");
                generator.writeEndObject();
            }
            case ENUM -> {
                generator.writeArrayFieldStart("enum");
                for (String word : field.allowedValues()) {
                    generator.writeString(word);
                }
                generator.writeEndArray();
            }
            case NUMBER, INTEGER -> {
                generator.writeStringField("type", field.kind() == Field.Kind.INTEGER ? "integer" : "number");
                if (field.min() == Double.MIN_NORMAL) {
                    generator.writeNumberField("exclusiveMinimum", 0);
                } else {
                    generator.writeNumberField("minimum", field.min());
                }
                if (!Double.isInfinite(field.max())) {
                    generator.writeNumberField("maximum", field.max());
                }
            }
        }
        if (field.defaultValue() != null && !field.defaultValue().isEmpty()) {
            switch (field.kind()) {
                case BOOLEAN -> generator.writeBooleanField("default", Boolean.parseBoolean(field.defaultValue()));
                case NUMBER, INTEGER -> generator.writeNumberField("default", Double.parseDouble(field.defaultValue()));
                default -> generator.writeStringField("default", field.defaultValue());
            }
        }
    }

    private static void writePattern(JsonGenerator generator, String pattern) throws IOException {
        generator.writeStringField("type", "string");
        generator.writeStringField("pattern", pattern);
    }
}
