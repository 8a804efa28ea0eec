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
 * Applies the settings of a pushed configuration that can change at run time. Settings that it does not name keep the
 * value of the node's own file. The balancer and the request reader look settings up for each request, so a replaced
 * record is in force from the next request on. Used on the event loop only.
 *
 * <p>The live settings are a tenant's quota, a class's target latency, deadline, worth and late worth, {@code
 * overShareWorth}, and the address of discovery. A class or tenant that the file lacks needs a restart with a file that
 * has it, as the balancer addresses classes and tenants by their index in the file.
 */
final class LiveSettings implements Rules {
    private final ConfigRules rules = new ConfigRules();
    private final Settings settings;
    private final Consumer<String> onDiscoveryMoved;
    /** Classes as the file defines them. */
    private final List<RequestClass> classes;

    /** Tenants as the file defines them. */
    private final List<Tenant> tenants;

    private final double overShareWorth;
    private final Set<String> livePaths = new HashSet<>();
    /**
     * Parsed live values by path. A version changes only a few of thousands of values, so the others are not parsed
     * again.
     */
    private final Map<String, ParsedValue> parsedValues = new HashMap<>();

    private String discoveryAddress;

    /**
     * Creates the live settings of a node.
     *
     * @param settings the balancer's settings as the file defines them; changed in place
     * @param onDiscoveryMoved receives the new address of discovery when a configuration changes it
     */
    LiveSettings(Settings settings, Consumer<String> discovery) {
        this.settings = settings;
        this.onDiscoveryMoved = discovery;
        classes = List.copyOf(settings.classes);
        tenants = List.copyOf(settings.tenants);
        overShareWorth = settings.overShareWorth;
        classes.forEach(one -> livePaths.add("classes/" + one.name()));
        tenants.forEach(one -> livePaths.add("realms/" + one.name()));
        livePaths.addAll(List.of("overShareWorth", "discovery", History.VOTERS_PATH));
    }

    @Override
    public List<ValidationError> validate(Map<String, String> whole) {
        return rules.validate(whole);
    }

    /**
     * Returns the paths of {@code next} that cannot be applied at run time. They are compared with the file; {@code
     * first}, the rollout's initial version, is empty and not used.
     */
    @Override
    public Set<String> pathsNeedingRestart(Map<String, String> first, Map<String, String> next) {
        Set<String> needingRestart = new TreeSet<>();
        next.forEach((path, value) -> {
            if (!livePaths.contains(path) || path.startsWith("classes/") && !isLive(path, parse(value))) {
                needingRestart.add(path);
            }
        });
        return needingRestart;
    }

    /** Returns whether all fields of a class that are not live equal the file's. */
    private boolean isLive(String path, Json value) {
        String name = path.substring("classes/".length());
        RequestClass requestClass = classes.stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
        return requestClass.targetLatencyPerWork() == value.path("aimStretch").asDouble(0)
                && requestClass
                        .retrySafety()
                        .name()
                        .equalsIgnoreCase(value.path("repeat").asText())
                && requestClass
                        .dedupScope()
                        .name()
                        .equalsIgnoreCase(
                                value.path("group").isMissing()
                                        ? "all"
                                        : value.path("group").asText())
                && requestClass.dedupWindowUs() == value.path("windowUs").asLong(0)
                && requestClass.stream() == value.path("stream").asBoolean();
    }

    private record ParsedValue(String text, Json json) {}

    /** Puts the live values of a configuration in force. */
    void apply(Map<String, String> values) {
        Map<String, Json> liveValues = new HashMap<>();
        values.forEach((path, value) -> {
            if (livePaths.contains(path)) {
                ParsedValue previous = parsedValues.get(path);
                ParsedValue parsed = previous != null && previous.text.equals(value)
                        ? previous
                        : new ParsedValue(value, parse(value));
                parsedValues.put(path, parsed);
                liveValues.put(path, parsed.json);
            }
        });
        List<RequestClass> nextClasses = new ArrayList<>();
        for (RequestClass current : classes) {
            Json value = liveValues.get("classes/" + current.name());
            nextClasses.add(
                    value == null
                            ? current
                            : new RequestClass(
                                    current.name(),
                                    value.path("onTimeUs").asLong(0),
                                    current.targetLatencyPerWork(),
                                    value.path("giveUpUs").asLong(0),
                                    value.path("importance").asDouble(1),
                                    value.path("lateWorth").asDouble(0),
                                    current.retrySafety(),
                                    current.dedupScope(),
                                    current.dedupWindowUs(),
                                    current.stream()));
        }
        List<Tenant> nextTenants = new ArrayList<>();
        for (Tenant current : tenants) {
            Json value = liveValues.get("realms/" + current.name());
            nextTenants.add(
                    value == null
                            ? current
                            : new Tenant(current.name(), value.path("quotaPerS").asDouble(0)));
        }
        for (int i = 0; i < nextClasses.size(); i++) {
            settings.classes.set(i, nextClasses.get(i));
        }
        for (int i = 0; i < nextTenants.size(); i++) {
            settings.tenants.set(i, nextTenants.get(i));
        }
        settings.overShareWorth = liveValues.containsKey("overShareWorth")
                ? liveValues.get("overShareWorth").asDouble(1)
                : overShareWorth;
        String address = liveValues.containsKey("discovery")
                ? liveValues.get("discovery").asText()
                : null;
        if (address != null && !address.equals(discoveryAddress)) {
            onDiscoveryMoved.accept(address);
        }
        discoveryAddress = address;
    }

    /** Parses a value that {@link #validate} has accepted. */
    private static Json parse(String value) {
        try {
            return Json.read(value.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
