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

/** Guards against batched parsing that yields other values than parsing the whole text in one call of the library. */
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
    void exampleParsesAsTheLibraryParsesIt(Path file) throws Exception {
        String text = Files.readString(file);
        assertEquals(new HCLParser().parse(text), parse(text));
        String withCarriageReturns = text.replace("\n", "\r\n");
        assertEquals(new HCLParser().parse(withCarriageReturns), parse(withCarriageReturns));
    }

    @Test
    void manyBlocksBetweenOtherFieldsAreReadInOrder() throws Exception {
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
        Map<String, Object> parsed = parse(text.toString());
        assertEquals(new HCLParser().parse(text.toString()), parsed);
        Map<?, ?> servers = (Map<?, ?>) parsed.get("server");
        assertEquals(333, servers.size());
        assertEquals("s0", servers.keySet().iterator().next());
        assertTrue(parsed.containsKey("field300") && parsed.containsKey("limits"), parsed.keySet()::toString);
    }

    @Test
    void invalidHclIsRejected() {
        assertThrows(IOException.class, () -> parse("server \"a\" {\n  = 5\n}\n"));
    }
}
