package kitemux.hcl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Texts that are read in pieces say what they say as a whole. */
class HclReaderTest {

    private static Map<String, Object> parse(String text) throws IOException {
        return HclReader.parse(text, SourceLocations.of(text));
    }

    static List<Path> examples() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("examples"))) {
            return files.filter(file -> file.toString().endsWith(".hcl"))
                    .sorted()
                    .toList();
        }
    }

    @ParameterizedTest
    @MethodSource("examples")
    void eachExampleSaysTheSame(Path file) throws Exception {
        String text = Files.readString(file);
        assertEquals(new HCLParser().parse(text), parse(text));
        String lines = text.replace("\n", "\r\n");
        assertEquals(new HCLParser().parse(lines), parse(lines));
    }

    @Test
    void manyBlocksAmongOtherFieldsAreAllThereInOrder() throws Exception {
        StringBuilder text = new StringBuilder("name = \"a\" # server \"no\" {\n");
        for (int i = 0; i < 333; i++) {
            text.append("server \"s")
                    .append(i)
                    .append("\" {\n  address = \"}{\"\n  tags = [\"x\", \"y\"]\n  inner {\n    n = ")
                    .append(i)
                    .append("\n  }\n}\n")
                    .append(i % 100 == 0 ? "field" + i + " = " + i + "\n" : "");
        }
        text.append("limits {\n  sockets = 7\n}\n");
        Map<String, Object> read = parse(text.toString());
        assertEquals(new HCLParser().parse(text.toString()), read);
        Map<?, ?> servers = (Map<?, ?>) read.get("server");
        assertEquals(333, servers.size());
        assertEquals("s0", servers.keySet().iterator().next());
        assertTrue(read.containsKey("field300") && read.containsKey("limits"), read.keySet()::toString);
    }

    @Test
    void whatIsNoHclIsSaid() {
        assertThrows(IOException.class, () -> parse("server \"a\" {\n  = 5\n}\n"));
    }
}
