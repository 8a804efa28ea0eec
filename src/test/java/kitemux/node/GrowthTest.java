package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.Socket;
import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against memory growth: the node must keep nothing of servers, clients and requests that are gone. */
class GrowthTest {
    private static final int ROUND_COUNT = 150;
    /** Types whose collections hold the configuration for the life of the node. */
    private static final Set<String> CONFIGURATION_TYPES =
            Set.of("Settings", "NodeConfig", "RequestReader", "HostList", "Discovery");

    /** Returns the sizes of all collections that are reachable through the node's own classes. */
    private static Map<String, Integer> collectionSizes(Object root) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        collectSizes(root, new IdentityHashMap<>(), sizes);
        sizes.values().removeIf(size -> size == 0);
        return sizes;
    }

    private static void collectSizes(Object at, Map<Object, Object> seen, Map<String, Integer> sizes)
            throws IllegalAccessException {
        if (at == null
                || !at.getClass().getName().startsWith("kitemux.")
                || CONFIGURATION_TYPES.contains(at.getClass().getSimpleName())
                || seen.put(at, at) != null) {
            return;
        }
        for (Field field : at.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
                field.setAccessible(true);
                Object value = field.get(at);
                if (value instanceof Collection<?> || value instanceof Map<?, ?>) {
                    sizes.merge(at.getClass().getSimpleName() + "." + field.getName(), size(value), Integer::sum);
                } else {
                    collectSizes(value, seen, sizes);
                }
            }
        }
    }

    /** Returns the number of elements, counted through nested collections. */
    private static int size(Object table) {
        Collection<?> all = table instanceof Map<?, ?> map ? map.values() : (Collection<?>) table;
        int size = 0;
        for (Object element : all) {
            size += element instanceof Collection<?> || element instanceof Map<?, ?> ? size(element) : 1;
        }
        return size;
    }

    @Test
    @Timeout(60)
    void noStateRemainsOfGoneServersClientsAndRequests() throws Exception {
        String[] statuses = {"200 OK", "500 No", "200 OK", "200 OK", "503 Busy"};
        int[] count = {0};
        try (ScriptedServer server = new ScriptedServer((request, peer) -> {
                    String status = statuses[count[0]++ % statuses.length];
                    peer.write(Http.answer(status, status.startsWith("503") ? "X-Turned-Away: 1\r\n" : "", "x"));
                });
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            ScriptedServer.Peer watch = ScriptedServer.next(site.discovery.answeredPeers);
            Set<Integer> seen = new HashSet<>();
            for (int i = 1; i <= ROUND_COUNT; i++) {
                // The next server has a new id at the address of the one that is removed.
                watch.write(Site.chunk(Site.list(
                                i + 1,
                                false,
                                "s" + i + "=" + server.endpoint() + "=Ready",
                                "s" + (i - 1) + "=" + server.endpoint() + "=Gone")
                        + "\n"));
                try (Socket client = site.connect()) {
                    seen.add(Site.ask(client, Http.page("/api/" + i, "p" + i, "2000m"))
                            .status());
                    seen.add(Site.ask(client, Http.order("o" + i, "300m")).status());
                }
            }
            assertTrue(seen.contains(200) && seen.size() > 1, "answers " + seen);
            watch.write(Site.chunk(
                    Site.list(ROUND_COUNT + 2, false, "s" + ROUND_COUNT + "=" + server.endpoint() + "=Gone") + "\n"));
            Map<String, Integer> left;
            long until = System.nanoTime() + 20_000_000_000L;
            do {
                left = site.loop.submit(() -> collectionSizes(site.node)).get();
            } while (!left.isEmpty() && System.nanoTime() < until);
            assertEquals(Map.of(), left);
        }
    }
}
