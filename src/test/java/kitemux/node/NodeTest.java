package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import kitemux.Balancer;
import kitemux.Main;
import kitemux.ServiceQBalancer;

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

    @Test
    void theProgramEndsOnSigtermOnceNothingIsHeld(@TempDir Path folder) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "settings":{"classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """);
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(java, "-XX:TieredStopAtLevel=1", "-cp",
                System.getProperty("java.class.path"), Main.class.getName(), "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        Process process = builder.redirectErrorStream(true).start();
        try {
            String ready = process.inputReader().readLine();
            assertTrue(ready.startsWith("listening on "), ready);
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue(), "ended by SIGTERM in good order");
        } finally {
            process.destroyForcibly();
        }
    }
}
