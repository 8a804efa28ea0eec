package kitemux.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the detection of an unused class archive from the files of proc(5). */
class ClassArchiveTest {
    private static final String COMMAND = "java\0-Xshare:auto\0-XX:SharedArchiveFile=target/a.jsa\0-jar\0x.jar\0";

    @TempDir
    private Path process;

    private Optional<Path> findUnused(String command, String mappedFile) throws IOException {
        Files.writeString(process.resolve("cmdline"), command);
        Files.writeString(
                process.resolve("maps"),
                "7f0000000000-7f0000001000 r--p 00000000 08:01 7     " + mappedFile
                        + "\n7f0000002000-7f0000003000 rw-p 00000000 00:00 0 \n");
        return ClassArchive.findUnused(process);
    }

    @Test
    void mappedArchiveIsInUse() throws IOException {
        assertEquals(Optional.empty(), findUnused(COMMAND, "/srv/node/target/a.jsa"));
    }

    @Test
    void unmappedArchiveIsUnused() throws IOException {
        assertEquals(Optional.of(Path.of("target/a.jsa")), findUnused(COMMAND, "/usr/lib/jvm/lib/libjvm.so"));
        assertEquals(Optional.of(Path.of("target/a.jsa")), findUnused(COMMAND, "/srv/node/target/other-a.jsa"));
    }

    @Test
    void processWithoutConfiguredArchiveMissesNone() throws IOException {
        assertEquals(Optional.empty(), findUnused("java\0-jar\0x.jar\0", "/usr/lib/jvm/lib/libjvm.so"));
    }

    @Test
    void missingProcessFolderIsAnError() {
        assertThrows(IOException.class, () -> ClassArchive.findUnused(process.resolve("none")));
    }
}
