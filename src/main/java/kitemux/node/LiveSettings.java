package kitemux.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Settings;
import kitemux.Balancer.Tenant;
import kitemux.config.Json;
import kitemux.keeper.ConfigRules;
import kitemux.rollout.History;
import kitemux.rollout.Rules;
import kitemux.rollout.ValidationError;

/**
 * What a node takes of a configuration that it is told while it runs. What that does not name stays as the
 * node's own file has it. The module and the reader of requests look at settings for each request, so a new
 * record in its place is in force with the next one. On the loop alone.
 *
 * <p>Live are a tenant's quota, a class's aim, deadline, worth and late worth, {@code overShareWorth}, and
 * where discovery is. A class or tenant that the file does not have waits for a restart with a file that has
 * it: the module counts by their places, which it took from the file.
 */
final class LiveSettings implements Rules {
    private final ConfigRules rules = new ConfigRules();
    private final Settings settings;
    private final Consumer<String> discovery;
    /** As the file has them. */
    private final List<RequestClass> classes;

    private final List<Tenant> tenants;
    private final double overShareWorth;
    private final Set<String> live = new HashSet<>();
    /** Live values as they were read, by path: of thousands a version changes a few. */
    private final Map<String, Known> known = new HashMap<>();

    private String told;

    /**
     * @param settings the module's, as the file has them; changed in place
     * @param discovery told where it is from now on, where a configuration says so
     */
    LiveSettings(Settings settings, Consumer<String> discovery) {
        this.settings = settings;
        this.discovery = discovery;
        classes = List.copyOf(settings.classes);
        tenants = List.copyOf(settings.tenants);
        overShareWorth = settings.overShareWorth;
        classes.forEach(one -> live.add("classes/" + one.name()));
        tenants.forEach(one -> live.add("realms/" + one.name()));
        live.addAll(List.of("overShareWorth", "discovery", History.VOTERS_PATH));
    }

    @Override
    public List<ValidationError> validate(Map<String, String> whole) {
        return rules.validate(whole);
    }

    /** By what the file says: the first is what the node started with besides, which is nothing. */
    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
        Set<String> waits = new TreeSet<>();
        next.forEach((path, value) -> {
            if (!live.contains(path) || path.startsWith("classes/") && !isLive(path, read(value))) {
                waits.add(path);
            }
        });
        return waits;
    }

    /** Whether all that a class has beside its live fields is as the file has it. */
    private boolean isLive(String path, Json value) {
        String name = path.substring("classes/".length());
        RequestClass of = classes.stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        return of.targetLatencyPerWork() == value.path("aimStretch").asDouble(0)
                && of.retrySafety().name().equalsIgnoreCase(value.path("repeat").asText())
                && of.dedupScope()
                        .name()
                        .equalsIgnoreCase(
                                value.path("group").isMissing()
                                        ? "all"
                                        : value.path("group").asText())
                && of.dedupWindowUs() == value.path("windowUs").asLong(0)
                && of.stream() == value.path("stream").asBoolean();
    }

    private record Known(String text, Json json) {}

    /** These are in force from now on. */
    void apply(Map<String, String> values) {
        Map<String, Json> now = new HashMap<>();
        values.forEach((path, value) -> {
            if (live.contains(path)) {
                Known before = known.get(path);
                Known one = before != null && before.text.equals(value) ? before : new Known(value, read(value));
                known.put(path, one);
                now.put(path, one.json);
            }
        });
        List<RequestClass> nextClasses = new ArrayList<>();
        for (RequestClass of : classes) {
            Json value = now.get("classes/" + of.name());
            nextClasses.add(
                    value == null
                            ? of
                            : new RequestClass(
                                    of.name(),
                                    value.path("onTimeUs").asLong(0),
                                    of.targetLatencyPerWork(),
                                    value.path("giveUpUs").asLong(0),
                                    value.path("importance").asDouble(1),
                                    value.path("lateWorth").asDouble(0),
                                    of.retrySafety(),
                                    of.dedupScope(),
                                    of.dedupWindowUs(),
                                    of.stream()));
        }
        List<Tenant> nextTenants = new ArrayList<>();
        for (Tenant of : tenants) {
            Json value = now.get("realms/" + of.name());
            nextTenants.add(
                    value == null
                            ? of
                            : new Tenant(of.name(), value.path("quotaPerS").asDouble(0)));
        }
        for (int i = 0; i < nextClasses.size(); i++) {
            settings.classes.set(i, nextClasses.get(i));
        }
        for (int i = 0; i < nextTenants.size(); i++) {
            settings.tenants.set(i, nextTenants.get(i));
        }
        settings.overShareWorth =
                now.containsKey("overShareWorth") ? now.get("overShareWorth").asDouble(1) : overShareWorth;
        String at = now.containsKey("discovery") ? now.get("discovery").asText() : null;
        if (at != null && !at.equals(told)) {
            discovery.accept(at);
        }
        told = at;
    }

    /** What {@link #validate} found nothing wrong with. */
    private static Json read(String value) {
        try {
            return Json.read(value.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
