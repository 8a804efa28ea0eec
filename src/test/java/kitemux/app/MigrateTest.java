package kitemux.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MigrateTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** What was written from a description and made a description again is written the same, to the byte. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("kitemux.app.SoundAppsTest#all")
    void whatWasWrittenComesBack(String what, List<String> changes) throws IOException {
        String text = Files.readString(Path.of("examples", "app", "ordering-desk.hcl"));
        for (int i = 0; i < changes.size(); i += 2) {
            text = text.replace(changes.get(i), changes.get(i + 1));
        }
        App app = AppParser.parse(text).app();
        String written = ConfigWriter.toJson(app, "5");
        ConfigMigration.Result back = ConfigMigration.migrate(bytes(written));
        AppParser.Result read = AppParser.parse(back.text());
        assertEquals(List.of(), read.findings().stream().map(Finding::format).toList(), back.text());
        assertEquals(written, ConfigWriter.toJson(read.app(), "5"), back.text());
    }

    @Test
    void whatHasNoWordsIsToldAndWhatBreaksARuleIsFound() throws IOException {
        ConfigMigration.Result result =
                ConfigMigration.migrate(bytes("{\"name\":\"n\",\"listen\":\"127.0.0.1:80\",\"discovery\":"
                        + "\"10.0.0.9:1\",\"limits\":{\"sockets\":256},\"known\":{\"rev\":1,\"targets\":[{"
                        + "\"uid\":\"a\","
                        + "\"endpoint\":\"127.0.0.1:81\",\"pod_group\":0,\"state\":\"Ready\"},{\"uid\":\"b\","
                        + "\"state\":"
                        + "\"Gone\"}]},\"settings\":{\"membershipMode\":\"pushed\",\"balancers\":5,\"zones\":"
                        + "[\"y\",\"z\"],"
                        + "\"countedBy\":\"work\",\"costs\":{\"crossZone\":1},\"realms\":[{\"name\":\"t\"}],"
                        + "\"classes\":["
                        + "{\"name\":\"c\",\"onTimeUs\":2000000,\"giveUpUs\":1000000,\"repeat\":\"safe\","
                        + "\"group\":\"zone\","
                        + "\"stream\":true}]}}"));
        for (String part : List.of(
                "discovery", "balancers", "zones", "countedBy", "costs", "realms", "group is a zone", "stream")) {
            assertTrue(
                    result.omitted().stream().anyMatch(line -> line.contains(part)), part + " in " + result.omitted());
        }
        assertEquals(
                List.of(Rule.TIMES),
                AppParser.parse(result.text()).findings().stream()
                        .map(Finding::rule)
                        .toList(),
                result.text());
        assertThrows(IOException.class, () -> ConfigMigration.migrate(bytes("{}")));
        assertThrows(IOException.class, () -> ConfigMigration.migrate(bytes("no")));
    }
}
