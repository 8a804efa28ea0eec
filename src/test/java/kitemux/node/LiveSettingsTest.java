package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.RetrySafety;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import org.junit.jupiter.api.Test;

/** Tests which settings of a pushed configuration a running node applies. */
class LiveSettingsTest {
    private static final RequestClass PAGE =
            new RequestClass("page", 100, 0, 500, 1, 0, RetrySafety.SAFE, DedupScope.ALL, 0, false);
    private static final RequestClass ORDER =
            new RequestClass("order", 100, 0, 500, 4, 0.5, RetrySafety.UNSAFE, DedupScope.CELL, 7, true);
    private static final String FAST =
            "{\"onTimeUs\":50,\"giveUpUs\":300,\"importance\":2," + "\"lateWorth\":0.25,\"repeat\":\"safe\"}";

    private final Settings settings = new Settings();
    private final List<String> moved = new ArrayList<>();
    private final LiveSettings liveSettings;

    LiveSettingsTest() {
        settings.classes.addAll(List.of(PAGE, ORDER));
        settings.tenants.addAll(List.of(new Tenant("a", 1), new Tenant("b", 2)));
        settings.overShareWorth = 0.5;
        liveSettings = new LiveSettings(settings, moved::add);
    }

    @Test
    void liveValuesApplyAndOthersKeepTheFilesValues() {
        liveSettings.apply(Map.of(
                "realms/b",
                "{\"quotaPerS\":9.5}",
                "classes/page",
                FAST,
                "overShareWorth",
                "0.75",
                "realms/new",
                "{\"quotaPerS\":1}",
                "limits/attemptsCap",
                "9",
                "classes/new",
                FAST));
        assertEquals(List.of(new Tenant("a", 1), new Tenant("b", 9.5)), settings.tenants);
        assertEquals(
                List.of(
                        new RequestClass("page", 50, 0, 300, 2, 0.25, RetrySafety.SAFE, DedupScope.ALL, 0, false),
                        ORDER),
                settings.classes);
        assertSame(ORDER, settings.classes.get(1));
        assertEquals(0.75, settings.overShareWorth);
        assertEquals(3, settings.maxAttempts);
        // Values that a later version does not name return to the file's.
        liveSettings.apply(Map.of());
        assertEquals(List.of(new Tenant("a", 1), new Tenant("b", 2)), settings.tenants);
        assertEquals(List.of(PAGE, ORDER), settings.classes);
        assertEquals(0.5, settings.overShareWorth);
    }

    @Test
    void otherPathsNeedARestart() {
        assertEquals(
                Set.of(),
                liveSettings.pathsNeedingRestart(
                        Map.of(),
                        Map.of(
                                "realms/a",
                                "{\"quotaPerS\":9}",
                                "classes/page",
                                FAST,
                                "overShareWorth",
                                "1",
                                "discovery",
                                "\"127.0.0.1:1\"",
                                "keepers/voters",
                                "[]")));
        assertEquals(
                Set.of("realms/new", "classes/new", "limits/attemptsCap"),
                liveSettings.pathsNeedingRestart(
                        Map.of(), Map.of("realms/new", "{}", "classes/new", FAST, "limits/attemptsCap", "9")));
        String order = "{\"repeat\":\"unsafe\",\"group\":\"cell\",\"windowUs\":7,\"stream\":true}";
        assertEquals(Set.of(), liveSettings.pathsNeedingRestart(Map.of(), Map.of("classes/order", order)));
        for (String other : List.of(
                order.replace("unsafe", "safe"),
                order.replace("cell", "all"),
                order.replace("7", "8"),
                order.replace("true", "false"),
                order.replace("\"repeat\"", "\"aimStretch\":1,\"repeat\""),
                order.replace("\"group\":\"cell\",", ""))) {
            assertEquals(
                    Set.of("classes/order"),
                    liveSettings.pathsNeedingRestart(Map.of(), Map.of("classes/order", other)),
                    other);
        }
    }

    @Test
    void discoveryMovesOnceForEachNewAddress() {
        liveSettings.apply(Map.of("discovery", "\"127.0.0.1:1\""));
        liveSettings.apply(Map.of("discovery", "\"127.0.0.1:1\"", "overShareWorth", "1"));
        liveSettings.apply(Map.of("discovery", "\"127.0.0.1:2\""));
        liveSettings.apply(Map.of());
        assertEquals(List.of("127.0.0.1:1", "127.0.0.1:2"), moved);
    }
}
