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
    private static final String TIME = "^\\d+(\\.\\d+)?(us|ms|s|m|h)$";
    private static final String ADDRESS = "^\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}$";

    private FieldReference() {}

    /** One field in a line, as {@code explain} tells it. */
    public static String describe(Field field) {
        String range = field.range();
        return field.key() + ": " + field.kind().displayName() + (range.isEmpty() ? "" : ", " + range) + ", "
                + (field.defaultValue() == null ? "must be given" : "default " + otherwise(field)) + ". "
                + field.description();
    }

    private static String otherwise(Field field) {
        return field.defaultValue().isEmpty() ? "none" : field.defaultValue();
    }

    /** All fields by block, as a page. */
    public static String toMarkdown() {
        StringBuilder page = new StringBuilder("# All fields of a description\n\nMade by `config "
                + "reference` from the"
                + " table that descriptions are read by. Times carry a unit: `us`, `ms`, `s`, `m`, `h`.\n");
        Fields.blocks().forEach((block, about) -> {
            page.append("\n## ")
                    .append(
                            block.isEmpty()
                                    ? "Top"
                                    : Fields.isLabelled(block) ? "`" + block + " \"NAME\"`" : "`" + block + "`")
                    .append("\n\n")
                    .append(Character.toUpperCase(about.charAt(0)))
                    .append(about.substring(1))
                    .append(".\n\n| field | kind | range | default | |\n| --- | --- | --- |" + " --- | --- |\n");
            for (Field field : Fields.inBlock(block)) {
                page.append("| `")
                        .append(field.name())
                        .append("` | ")
                        .append(field.kind().displayName())
                        .append(" | ")
                        .append(field.range())
                        .append(" | ")
                        .append(field.defaultValue() == null ? "must be given" : otherwise(field))
                        .append(" | ")
                        .append(field.description())
                        .append(" |\n");
            }
        });
        return page.toString();
    }

    /** A JSON schema (draft 2020-12) of what a description says, for editors that know HCL's JSON form. */
    public static String toJsonSchema() {
        StringWriter text = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(text)) {
            to.setPrettyPrinter(new DefaultPrettyPrinter()
                    .withObjectIndenter(new DefaultIndenter("  ", "\n"))
                    .withArrayIndenter(new DefaultIndenter("  ", "\n")));
            to.writeStartObject();
            to.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            to.writeStringField("title", "An application and the servers behind it");
            block(to, "");
            to.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text + "\n";
    }

    private static void block(JsonGenerator to, String name) throws IOException {
        List<Field> fields = Fields.inBlock(name);
        to.writeStringField("type", "object");
        to.writeBooleanField("additionalProperties", false);
        to.writeArrayFieldStart("required");
        for (Field field : fields) {
            if (field.defaultValue() == null) {
                to.writeString(field.name());
            }
        }
        if (name.isEmpty()) {
            to.writeString("class");
        }
        to.writeEndArray();
        to.writeObjectFieldStart("properties");
        for (Field field : fields) {
            to.writeObjectFieldStart(field.name());
            field(to, field);
            to.writeEndObject();
        }
        if (name.isEmpty()) {
            for (Map.Entry<String, String> inner : Fields.blocks().entrySet()) {
                if (!inner.getKey().isEmpty()) {
                    inner(to, inner.getKey(), inner.getValue());
                }
            }
        }
        to.writeEndObject();
    }

    private static void inner(JsonGenerator to, String block, String about) throws IOException {
        to.writeObjectFieldStart(block);
        to.writeStringField("description", about);
        if (Fields.isLabelled(block)) {
            to.writeStringField("type", "object");
            to.writeObjectFieldStart("additionalProperties");
            block(to, block);
            to.writeEndObject();
        } else {
            block(to, block);
        }
        to.writeEndObject();
    }

    private static void field(JsonGenerator to, Field field) throws IOException {
        to.writeStringField("description", field.description());
        switch (field.kind()) {
            case TEXT -> to.writeStringField("type", "string");
            case ADDRESS -> pattern(to, ADDRESS);
            case DURATION -> pattern(to, TIME);
            case BOOLEAN -> to.writeStringField("type", "boolean");
            case TEXT_LIST -> {
                to.writeStringField("type", "array");
                to.writeObjectFieldStart("items");
                to.writeStringField("type", "string");
                to.writeEndObject();
            }
            case ENUM -> {
                to.writeArrayFieldStart("enum");
                for (String word : field.allowedValues()) {
                    to.writeString(word);
                }
                to.writeEndArray();
            }
            case NUMBER, INTEGER -> {
                to.writeStringField("type", field.kind() == Field.Kind.INTEGER ? "integer" : "number");
                if (field.min() == Double.MIN_NORMAL) {
                    to.writeNumberField("exclusiveMinimum", 0);
                } else {
                    to.writeNumberField("minimum", field.min());
                }
                if (!Double.isInfinite(field.max())) {
                    to.writeNumberField("maximum", field.max());
                }
            }
        }
        if (field.defaultValue() != null && !field.defaultValue().isEmpty()) {
            switch (field.kind()) {
                case BOOLEAN -> to.writeBooleanField("default", Boolean.parseBoolean(field.defaultValue()));
                case NUMBER, INTEGER -> to.writeNumberField("default", Double.parseDouble(field.defaultValue()));
                default -> to.writeStringField("default", field.defaultValue());
            }
        }
    }

    private static void pattern(JsonGenerator to, String pattern) throws IOException {
        to.writeStringField("type", "string");
        to.writeStringField("pattern", pattern);
    }
}
