package kitemux;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Checks which packages may depend on which: dependencies are one-way, and code that makes decisions uses nothing
 * outside the project.
 */
class ArchitectureTest {
    private static final JavaClasses MAIN_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("kitemux");

    /**
     * The packages that each package may depend on besides itself. The root package, "", holds the decision module.
     */
    private static final Map<String, Set<String>> ALLOWED_DEPENDENCIES = Map.ofEntries(
            Map.entry("", Set.of()),
            Map.entry("config", Set.of("")),
            Map.entry("disk", Set.of()),
            Map.entry("engine", Set.of("")),
            Map.entry("net", Set.of("", "engine", "config")),
            Map.entry("http", Set.of("", "engine", "net")),
            Map.entry("mysql", Set.of("", "engine", "net")),
            Map.entry("discovery", Set.of("", "engine", "net", "config")),
            Map.entry("adapter", Set.of("", "config")),
            Map.entry("orders", Set.of("", "engine", "config", "disk")),
            Map.entry("ops", Set.of("", "engine", "net")),
            Map.entry("load", Set.of("", "engine", "config")),
            Map.entry("telemetry", Set.of("", "engine", "http", "config")),
            Map.entry(
                    "node",
                    Set.of(
                            "",
                            "engine",
                            "net",
                            "http",
                            "discovery",
                            "config",
                            "orders",
                            "ops",
                            "load",
                            "keeper",
                            "rollout",
                            "telemetry")),
            Map.entry("sim", Set.of()),
            Map.entry("world", Set.of("", "engine", "net", "http", "node", "config", "sim")),
            Map.entry("fleet", Set.of("", "engine", "sim")),
            Map.entry("hcl", Set.of()),
            Map.entry("members", Set.of("config")),
            Map.entry("app", Set.of("", "hcl", "config", "members")),
            Map.entry("sidecar", Set.of("engine", "app", "members", "node")),
            Map.entry("plan", Set.of("", "fleet", "load", "hcl")),
            Map.entry("standin", Set.of()),
            Map.entry("lab", Set.of("", "fleet", "plan", "sim", "standin", "hcl", "config")),
            Map.entry("peers", Set.of()),
            Map.entry("rollout", Set.of("config")),
            Map.entry("soak", Set.of("lab")),
            Map.entry("drill", Set.of("", "fleet", "plan", "sim", "hcl", "lab")),
            Map.entry("keeper", Set.of("", "rollout", "net", "config", "engine", "disk", "hcl")),
            Map.entry("scale", Set.of("", "engine", "net", "discovery", "config", "peers", "hcl", "standin", "lab")),
            Map.entry("bench", Set.of("", "engine", "standin", "config", "orders", "fleet", "sim", "load")),
            Map.entry(
                    "cli",
                    Set.of(
                            "adapter", "node", "world", "bench", "standin", "orders", "fleet", "plan", "lab", "load",
                            "hcl", "app", "sidecar", "drill", "scale", "keeper", "soak")));

    /** Returns the package below {@code kitemux}, or "" for the root package. */
    private static String topPackage(JavaClass c) {
        String[] parts = c.getPackageName().split("\\.");
        return parts.length < 2 ? "" : parts[1];
    }

    private static boolean isProjectClass(JavaClass c) {
        return c.getPackageName().equals("kitemux") || c.getPackageName().startsWith("kitemux.");
    }

    /** Returns the forbidden dependencies as "from -> to", with one example each. */
    private static Map<String, String> forbiddenDependencies(JavaClasses classes) {
        Map<String, String> found = new TreeMap<>();
        for (JavaClass from : classes) {
            Set<String> allowed = ALLOWED_DEPENDENCIES.get(topPackage(from));
            for (Dependency dependency : from.getDirectDependenciesFromSelf()) {
                JavaClass to = dependency.getTargetClass();
                if (isProjectClass(to)
                        && !topPackage(to).equals(topPackage(from))
                        && (allowed == null || !allowed.contains(topPackage(to)))) {
                    found.putIfAbsent(topPackage(from) + " -> " + topPackage(to), dependency.getDescription());
                }
            }
        }
        return found;
    }

    @Test
    void packagesDependOnlyOnAllowedPackages() {
        Set<String> unlisted = new TreeSet<>();
        MAIN_CLASSES.forEach(c -> unlisted.add(topPackage(c)));
        unlisted.removeAll(ALLOWED_DEPENDENCIES.keySet());
        assertEquals(Set.of(), unlisted, "packages without a rule");
        assertEquals(Map.of(), forbiddenDependencies(MAIN_CLASSES));
    }

    @Test
    void forbiddenDependencyIsReported() {
        JavaClasses withTests = new ClassFileImporter().importClasses(DependsOnEngine.class);
        assertEquals(Set.of(" -> engine"), forbiddenDependencies(withTests).keySet());
    }

    /** A class of the root package that depends on the engine, which is forbidden. */
    private static final class DependsOnEngine {
        static final Object OBSERVER = kitemux.engine.Observer.NONE;
    }

    private static final DescribedPredicate<JavaClass> EXTERNAL_CLASSES =
            new DescribedPredicate<>("Netty, JSON, files, sockets, threads or system clocks") {
                private static final List<String> PACKAGES = List.of(
                        "io.netty",
                        "com.fasterxml",
                        "picocli",
                        "java.io",
                        "java.net",
                        "java.nio",
                        "java.time",
                        "java.util.concurrent",
                        "sun.",
                        "jdk.");

                @Override
                public boolean test(JavaClass c) {
                    return PACKAGES.stream().anyMatch(p -> c.getPackageName().startsWith(p))
                            || c.isEquivalentTo(Thread.class)
                            || c.isEquivalentTo(Process.class)
                            || c.isEquivalentTo(ProcessBuilder.class)
                            || c.isEquivalentTo(Runtime.class);
                }
            };

    private static final DescribedPredicate<JavaCall<?>> SYSTEM_CALLS =
            new DescribedPredicate<>("system clocks, streams or environment") {
                @Override
                public boolean test(JavaCall<?> call) {
                    return call.getTargetOwner().isEquivalentTo(System.class)
                            && !call.getName().equals("arraycopy")
                            && !call.getName().equals("identityHashCode");
                }
            };

    private static ArchRule noExternalAccess(String... packages) {
        return noClasses()
                .that()
                .resideInAnyPackage(packages)
                .should()
                .dependOnClassesThat(EXTERNAL_CLASSES)
                .orShould()
                .callMethodWhere(DescribedPredicate.describe(SYSTEM_CALLS.getDescription(), SYSTEM_CALLS::test));
    }

    @Test
    void decisionModuleAndEngineUseNothingExternal() {
        noExternalAccess("kitemux", "kitemux.engine").check(MAIN_CLASSES);
    }

    /** The membership protocol may use external classes only where messages are encoded as bytes. */
    @Test
    void membershipUsesNothingExternal() {
        noExternalAccess("kitemux.peers")
                .check(MAIN_CLASSES.that(DescribedPredicate.describe(
                        "decide without encoding", c -> !c.getSimpleName().equals("Datagram"))));
    }

    /** The rollout protocol may use external classes only where records are encoded as JSON. */
    @Test
    void rolloutUsesNothingExternal() {
        noExternalAccess("kitemux.rollout")
                .check(MAIN_CLASSES.that(DescribedPredicate.describe(
                        "decide without encoding", c -> !c.getName().startsWith("kitemux.rollout.RolloutText"))));
    }

    /** No other class of a node may load the rollout, which is off unless the operator's file enables it. */
    @Test
    void onlyRolloutLinkLiveSettingsAndKeepCommandUseRollout() {
        noClasses()
                .that()
                .resideOutsideOfPackages("kitemux.rollout..", "kitemux.keeper..")
                .and(DescribedPredicate.describe(
                        "are not the entry points of the rollout",
                        c -> !c.getName()
                                .matches("kitemux\\.node\\.(RolloutLink|LiveSettings)(\\$.*)?"
                                        + "|kitemux\\.cli\\.KeepCommand(\\$.*)?")))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("kitemux.rollout..", "kitemux.keeper..")
                .check(MAIN_CLASSES);
        assertThrows(
                AssertionError.class,
                () -> noClasses()
                        .that()
                        .resideInAPackage("kitemux.node..")
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("kitemux.engine..")
                        .check(MAIN_CLASSES));
    }

    @Test
    void externalAccessIsReported() {
        assertThrows(
                AssertionError.class, () -> noExternalAccess("kitemux.node").check(MAIN_CLASSES));
        assertThrows(
                AssertionError.class,
                () -> noExternalAccess("kitemux").check(new ClassFileImporter().importClasses(ReadsSystemClock.class)));
    }

    /** A class that reads the system clock. */
    private static final class ReadsSystemClock {
        static long now() {
            return System.nanoTime();
        }
    }
}
