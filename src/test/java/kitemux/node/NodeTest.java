package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import kitemux.Balancer;
import kitemux.ServiceQBalancer;
import kitemux.cli.Main;

/** A node as a whole. */
class NodeTest {

    /** A module that breaks the first time that it is told of this event. */
    private static Balancer breaking(Balancer sound, String event) {
        boolean[] broken = {false};
        return (Balancer) Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals(event) && !broken[0]) {
                        broken[0] = true;
                        throw new IllegalStateException("broken for the test");
                    }
                    try {
                        return method.invoke(sound, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onOutcome"})
    void anExceptionCostsOneRequestAndStillAnswersIt(String event) throws Exception {
        // Neither answer is a success, so that the node owes the client its own.
        try (FarServer server = new FarServer((request, peer) -> peer.write(Http.answer("500 No", "", "")));
                Site site = Site.quiet()) {
            site.module = actions -> breaking(new ServiceQBalancer(site.settings, 7, actions), event);
            site.start(server);
            assertEquals(500, site.ask(Http.order("first", "4000m")).status());
            assertEquals(502, site.ask(Http.order("second", "4000m")).status());
        }
    }

    private static Path configure(Path folder, String discovery) throws Exception {
        Path next = Files.writeString(folder.resolve("next.json"), """
                {"listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},"settings":
                 {"membershipMode":"on_request","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """.formatted(discovery));
        return Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** A node as a process, which is told of discovery by the environment as well. */
    private static Process program(Path config, String discovery) throws Exception {
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(java, "-XX:TieredStopAtLevel=1", "-cp",
                System.getProperty("java.class.path"), Main.class.getName(), "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_DISCOVERY", discovery);
        return builder.redirectErrorStream(true).start();
    }

    private static void awaitLine(BufferedReader lines, String part) throws Exception {
        String line = lines.readLine();
        while (line != null && !line.contains(part)) {
            line = lines.readLine();
        }
        assertNotNull(line, "no line says " + part);
    }

    private static void hangUp(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    @Test
    void theProgramEndsOnSigtermOnceNothingIsHeld(@TempDir Path folder) throws Exception {
        Process process = program(configure(folder, "127.0.0.1:9"), "127.0.0.1:9");
        try {
            awaitLine(process.inputReader(), "listening on ");
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue(), "ended by SIGTERM in good order");
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void onSighupTheWatchMovesToWhereTheFileSaysAndABadFileChangesNothing(@TempDir Path folder)
            throws Exception {
        FarServer.Script watch = (request, peer) -> peer.write(Site.watchHead());
        try (FarServer before = new FarServer(watch); FarServer after = new FarServer(watch)) {
            Path config = configure(folder, before.endpoint());
            Process process = program(config, before.endpoint());
            try {
                BufferedReader lines = process.inputReader();
                FarServer.next(before.requests);
                configure(folder, after.endpoint());
                hangUp(process);
                FarServer.next(after.requests);
                FarServer.next(before.ended);
                Files.writeString(config, "{");
                hangUp(process);
                awaitLine(lines, "PROXY_CONFIG is not JSON");
                configure(folder, before.endpoint());
                hangUp(process);
                hangUp(process);
                FarServer.next(before.requests);
                process.destroy();
                hangUp(process);
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(143, process.exitValue(), "still ended by SIGTERM in good order");
                assertEquals(1, after.connections.get());
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
