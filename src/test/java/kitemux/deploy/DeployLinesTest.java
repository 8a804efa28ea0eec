package kitemux.deploy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import io.netty.channel.FileRegion;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the platform's rules for the lines of the deploy file and for the calls that a node makes. */
class DeployLinesTest {
    private static final List<Path> SEARCH_PATH =
            Arrays.stream(System.getenv("PATH").split(":")).map(Path::of).toList();
    /** The packages that the deploy file lists as the node's, and the balancer's package. */
    private static final String[] NODE_PACKAGES = {
        "kitemux",
        "kitemux.config",
        "kitemux.discovery",
        "kitemux.engine",
        "kitemux.http",
        "kitemux.net",
        "kitemux.node",
        "kitemux.ops",
        "kitemux.orders"
    };

    @TempDir
    private Path folder;

    private static List<String> findFaults(String run, List<Path> path) throws IOException {
        return DeployLines.findFaults(
                "build = \"mvn package\"\nrun = \"" + run
                        + "\"\nsim = \"exec java -jar x.jar\"\npolicy = [\"a\"]\nnode = [\"b\"]\n",
                path);
    }

    @Test
    void deployFileHasNoFaults() throws IOException {
        String file = Files.readString(Path.of("deploy", "balancer.toml"));
        assertEquals(List.of(), DeployLines.findFaults(file, SEARCH_PATH));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "java -Djava.net.preferIPv4Stack=true -jar x.jar | does not begin with exec: the shell stays",
                "sleep 1; exec java -Djava.net.preferIPv4Stack=true -jar x.jar | holds ';'",
                "exec java -Djava.net.preferIPv4Stack=true -jar x.jar & | holds '&'",
                "exec java -Djava.net.preferIPv4Stack=true -jar $JAR | holds '$'",
                "exec timeout 9 java -Djava.net.preferIPv4Stack=true -jar x.jar | timeout is not the JVM",
                "exec java -jar x.jar | lacks -Djava.net.preferIPv4Stack=true",
                "exec java -Djava.net.preferIPv4Stack=true -XX:OnOutOfMemoryError=reboot -jar x.jar "
                        + "| -XX:OnOutOfMemoryError starts another program",
                "exec no-such-program-here -Djava.net.preferIPv4Stack=true | no-such-program-here is not found"
            })
    void refusedLineIsReportedWithItsReason(String run, String reason) throws IOException {
        List<String> faults = findFaults(run, SEARCH_PATH);
        assertEquals(1, faults.size(), faults::toString);
        assertTrue(faults.get(0).startsWith("run = \"" + run) && faults.get(0).contains(reason), faults::toString);
    }

    @Test
    void allFaultsAreReported() throws IOException {
        assertEquals(
                List.of(
                        "build: missing, or no text",
                        "run: missing, or no text",
                        "sim: missing, or no text",
                        "policy: missing, or no list of files",
                        "node: missing, or no list of files"),
                DeployLines.findFaults("packages = []", SEARCH_PATH));
    }

    @Test
    void staticProgramAndScriptAreReported() throws IOException {
        ByteBuffer elf = ByteBuffer.allocate(256)
                .putInt(0, 0x7f454c46)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putLong(32, 64)
                .putShort(54, (short) 56)
                .putShort(56, (short) 1)
                .putInt(64, 1);
        writeProgram("static", elf.array());
        writeProgram("script", "#!/bin/sh\nexec java \"$@\"\n".repeat(4).getBytes());
        writeProgram("java", elf.putInt(64, 3).array());
        String rest = " -Djava.net.preferIPv4Stack=true -jar x.jar";
        List<Path> here = List.of(folder);
        assertTrue(findFaults("exec static" + rest, here).get(0).contains("static is linked statically"));
        assertTrue(findFaults("exec script" + rest, here).get(0).contains("script is no ELF program"));
        assertEquals(List.of(), findFaults("exec java" + rest, here));
    }

    private void writeProgram(String name, byte[] bytes) throws IOException {
        Files.write(folder.resolve(name), bytes);
        Files.setPosixFilePermissions(folder.resolve(name), PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    // ---------------------------------------------------------------- calls that a node makes

    /**
     * Rejects calls that the platform refuses: starting programs, sendfile and splice, Unix sockets, and native event
     * loops.
     */
    private static ArchRule usesNoForbiddenCalls(String... packages) {
        return ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat()
                .areAssignableTo(ProcessBuilder.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Process.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String[].class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(FileRegion.class)
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.net\\.UnixDomainSocketAddress|io\\.netty\\.channel\\.(epoll|uring|unix)\\..*")
                .orShould()
                .callMethod(FileChannel.class, "transferTo", long.class, long.class, WritableByteChannel.class)
                .orShould()
                .callMethod(FileChannel.class, "transferFrom", ReadableByteChannel.class, long.class, long.class);
    }

    @Test
    void nodeUsesNoForbiddenCalls() {
        JavaClasses program = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("kitemux");
        usesNoForbiddenCalls(NODE_PACKAGES).check(program);
        assertThrows(
                AssertionError.class,
                () -> usesNoForbiddenCalls("kitemux.bench").check(program));
    }
}
