package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import kitemux.app.AppParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The applications of the examples: sound, and each starts as it stands but for its ports and folders. */
class ExamplesTest {
    private static final Path FOLDER = Path.of("examples", "app");

    @TempDir
    private Path folder;

    static List<Path> all() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files.sorted().toList();
        }
    }

    @Test
    void thereAreThree() throws IOException {
        assertTrue(all().size() >= 3, all().toString());
    }

    @ParameterizedTest
    @MethodSource("all")
    void eachIsSoundAndStarts(Path example) throws Exception {
        String text = Files.readString(example);
        assertEquals(List.of(), AppParser.parse(text).findings());
        int port = SidecarProcess.freePort();
        Path mine = Files.writeString(
                folder.resolve("app.hcl"),
                text.replaceFirst("listen +=.*", "listen = \"127.0.0.1:" + port + "\"")
                        .replaceFirst("http://127.0.0.1:8500", "http://127.0.0.1:" + SidecarProcess.freePort())
                        .replace("\"state\"", "\"" + folder.resolve("state") + "\"")
                        .replace("\"editing-servers.json\"", "\"" + folder.resolve("servers.json") + "\""));
        SidecarProcess sidecar = new SidecarProcess(mine, port);
        try {
            sidecar.await("listening on");
            // No server of an example is there: what is asked is refused, and the process goes on.
            assertTrue(sidecar.ask().statusCode() >= 400);
        } finally {
            sidecar.close();
        }
    }
}
