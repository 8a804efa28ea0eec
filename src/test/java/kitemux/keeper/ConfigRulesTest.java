package kitemux.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Validation of configuration values, and the changes that need a restart. */
class ConfigRulesTest {
    private static final String VALID_CLASS = "{\"onTimeUs\":100000,\"giveUpUs\":500000,\"repeat\":\"safe\"}";

    private final ConfigRules rules = new ConfigRules();

    private String validationErrors(String... pathsAndValues) {
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i < pathsAndValues.length; i += 2) {
            all.put(pathsAndValues[i], pathsAndValues[i + 1]);
        }
        return rules.validate(all).toString();
    }

    @Test
    void validConfigurationHasNoErrors() {
        assertEquals(
                "[]",
                validationErrors(
                        "realms/acme",
                        "{\"quotaPerS\":12.5}",
                        "classes/get",
                        VALID_CLASS,
                        "limits/attemptsCap",
                        "3",
                        "limits/cancelling",
                        "true",
                        "overShareWorth",
                        "0.25",
                        "discovery",
                        "\"127.0.0.1:80\"",
                        "keepers/voters",
                        "[\"0:a\"]"));
    }

    @Test
    void invalidValuesAreReportedWithTheirPaths() {
        assertEquals("[realms/a quotaPerS is negative]", validationErrors("realms/a", "{\"quotaPerS\":-1}"));
        assertEquals("[realms/a quotaPerS is not a number]", validationErrors("realms/a", "{\"quotaPerS\":\"12\"}"));
        assertEquals(
                "[realms/a quota is not known; known are quotaPerS]", validationErrors("realms/a", "{\"quota\":1}"));
        assertEquals("[realms/a is not an object]", validationErrors("realms/a", "12"));
        assertEquals(
                "[classes/g giveUpUs is missing]",
                validationErrors("classes/g", "{\"onTimeUs\":1,\"repeat\":\"safe\"}"));
        assertEquals(
                "[classes/g repeat is unknown: never]",
                validationErrors("classes/g", "{\"onTimeUs\":1,\"giveUpUs\":1,\"repeat\":\"never\"}"));
        assertEquals(
                "[classes/g class g has a length of time out of range]",
                validationErrors("classes/g", "{\"onTimeUs\":1,\"giveUpUs\":0,\"repeat\":\"safe\"}"));
        assertEquals("[classes/g stream is not a plain value]", validationErrors("classes/g", "{\"stream\":[]}"));
        assertEquals("[limits/attemptsCap is not a number]", validationErrors("limits/attemptsCap", "\"many\""));
        assertEquals("[limits/attemptsCap maxAttempts is under 1]", validationErrors("limits/attemptsCap", "0"));
        assertEquals("[overShareWorth is negative]", validationErrors("overShareWorth", "-0.5"));
        assertEquals("[discovery is not address:port: here]", validationErrors("discovery", "\"here\""));
    }

    /** Valid values are cached, so a second validation must still report the errors of the others. */
    @Test
    void allErrorsAreReportedOnEachValidation() {
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    "[overShareWorth is negative, realms/a quotaPerS is negative]",
                    validationErrors(
                            "overShareWorth", "-1", "realms/a", "{\"quotaPerS\":-1}", "realms/b", "{\"quotaPerS\":1}"));
        }
        assertEquals(
                "[]",
                validationErrors(
                        "overShareWorth", "1", "realms/a", "{\"quotaPerS\":1}", "realms/b", "{\"quotaPerS\":1}"));
    }

    @Test
    void liveChangesNeedNoRestart() {
        String live = "{\"onTimeUs\":7,\"giveUpUs\":8,\"importance\":2,\"lateWorth\":1,\"repeat\":\"safe\"}";
        Map<String, String> first =
                Map.of("classes/get", VALID_CLASS, "limits/attemptsCap", "3", "overShareWorth", "1");
        assertEquals(
                Set.of(),
                rules.pathsNeedingRestart(
                        first,
                        Map.of(
                                "classes/get",
                                live,
                                "limits/attemptsCap",
                                "3",
                                "realms/new",
                                "{\"quotaPerS\":1}",
                                "keepers/voters",
                                "[]")));
        assertEquals(
                Set.of("classes/get", "limits/attemptsCap", "classes/put"),
                rules.pathsNeedingRestart(
                        first,
                        Map.of(
                                "classes/get",
                                VALID_CLASS.replace("safe", "unsafe"),
                                "limits/attemptsCap",
                                "4",
                                "classes/put",
                                VALID_CLASS)));
        assertEquals(Set.of("classes/get", "limits/attemptsCap"), rules.pathsNeedingRestart(first, Map.of()));
    }
}
