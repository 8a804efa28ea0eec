package kitemux.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class KeepCommandTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int call(String... args) {
        return new CommandLine(new KeepCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
    }

    private Path file(String voter) throws Exception {
        return Files.writeString(
                folder.resolve("k.hcl"),
                "keeper = 0\nkeepers = [\"127.0.0.1:1\"]\n"
                        + "listen = \"127.0.0.1:0\"\nvoters = [\"" + voter + "\"]\nfolder = \"" + folder.resolve("f")
                        + "\"\nnodes = 1\n");
    }

    @Test
    void aFolderIsMadeOnce() throws Exception {
        assertEquals(0, call("make", "--keeper", "0", folder.resolve("f").toString()));
        String voter = out.toString().strip();
        assertTrue(voter.matches("0:[0-9a-f]{16}"), voter);
        assertEquals(0, call("make", "--keeper", "0", folder.resolve("f").toString()));
        assertEquals(voter + "\n" + voter + "\n", out.toString().replace(System.lineSeparator(), "\n"));
        assertEquals(2, call("make", "--keeper", "1", folder.resolve("f").toString()));
        assertTrue(err.toString().contains("records is of keeper 0, and this is keeper 1"), err.toString());
        assertEquals(2, call("make", "--keeper", "-1", folder.resolve("f").toString()));
        assertEquals(0, call("check", file(voter).toString()));
    }

    @Test
    void faultsAreALineEachAndExitCode2() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.hcl"), "keeper = 0\nnodes = 0\n");
        for (String command : new String[] {"check", "run"}) {
            err.getBuffer().setLength(0);
            assertEquals(2, call(command, bad.toString()));
            String told = err.toString().replace(System.lineSeparator(), "\n");
            assertTrue(told.contains("bad.hcl:2:1: nodes: is not from 1 to 1024\n"), told);
            assertTrue(told.contains("folder: must be given\n"), told);
            assertTrue(told.lines().allMatch(line -> line.startsWith("kitemux: ")), told);
            assertEquals(2, call(command, folder.resolve("none.hcl").toString()));
        }
    }

    /** A process of its own: it says that it serves, answers, and ends by SIGTERM with all it was told. */
    @Test
    @Timeout(120)
    void aKeeperRunsUntilItIsToldToEnd() throws Exception {
        assertEquals(0, call("make", "--keeper", "0", folder.resolve("f").toString()));
        String settings = file(out.toString().strip()).toString();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process keeper = new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "keep",
                        "run",
                        settings)
                .redirectErrorStream(true)
                .start();
        try (BufferedReader lines = keeper.inputReader()) {
            Matcher port = null;
            boolean serves = false;
            while (port == null || !serves) {
                String line = lines.readLine();
                Matcher called = Pattern.compile("is called at .*:(\\d+)").matcher(String.valueOf(line));
                port = called.find() ? called : port;
                serves |= String.valueOf(line).contains(" serves;");
                assertTrue(line != null, "it has ended");
            }
            err.getBuffer().setLength(0);
            assertEquals(2, call("run", settings), "its folder is held");
            assertTrue(err.toString().contains("another process writes to"), err.toString());
            HttpResponse<String> told = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port.group(1) + "/rollout/change"))
                                    .POST(HttpRequest.BodyPublishers.ofString(
                                            "{\"id\":\"0000000000000001\",\"base\":0,\"set\":{\"realms/a\":"
                                                    + "{\"quotaPerS\":1}}}"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            assertEquals("200 {\"rev\":1}", told.statusCode() + " " + told.body());
            keeper.destroy();
            assertTrue(keeper.waitFor(30, TimeUnit.SECONDS));
            assertTrue(Files.readString(folder.resolve("f/records")).contains("realms/a"));
        } finally {
            keeper.destroyForcibly();
        }
    }
}
