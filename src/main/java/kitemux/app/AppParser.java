package kitemux.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import kitemux.Balancer.DedupScope;
import kitemux.Balancer.RetrySafety;
import kitemux.hcl.HclReader;
import kitemux.hcl.Section;
import kitemux.hcl.SourceLocations;

/** Reads an application's description in HCL; {@code docs/operate/config.md} has all fields. */
public final class AppParser {
    /** More is a mistake, or a file that was mixed up. */
    private static final int MOST_BYTES = 5 << 20;
    /** Fields of these names hold secrets, wherever they stand. */
    private static final String SECRETS = "(?i).*(password|passwd|secret|token|api_?key|private_?key).*";

    private AppParser() {}

    private enum Again {
        SAFE,
        KEYED,
        NEVER_TWICE
    }

    private enum Shared {
        ALL,
        RACK
    }

    private enum Form {
        TEXT,
        JSON
    }

    /**
     * What was read and what is wrong.
     *
     * @param app null where the text is no HCL at all
     * @param places where things stand in the text
     */
    public record Result(App app, List<Finding> findings, SourceLocations places) {}

    /** Reads a description and holds it against all rules: shape first, then meaning. */
    public static Result parse(String given) {
        String text = given.startsWith("\uFEFF") ? given.substring(1) : given;
        SourceLocations places = SourceLocations.of(text);
        List<Finding> findings = new ArrayList<>();
        if (text.length() > MOST_BYTES) {
            findings.add(new Finding(
                    Rule.SHAPE,
                    "",
                    "the file has " + text.length() + " characters; at most " + MOST_BYTES + " are read"));
            return new Result(null, findings, places);
        }
        for (String fault : places.faults()) {
            int end = fault.indexOf(": ");
            findings.add(new Finding(Rule.SHAPE, fault.substring(0, end), fault.substring(end + 2)));
        }
        Map<String, Object> parsed;
        try {
            parsed = HclReader.parse(text, places);
        } catch (IOException e) {
            findings.add(new Finding(Rule.SHAPE, "", "this is not HCL: " + e.getMessage()));
            return new Result(null, findings, places);
        }
        List<String> faults = new ArrayList<>();
        List<Finding> beyond = new ArrayList<>();
        App app = app(new Section("", parsed, faults), beyond);
        for (String fault : faults) {
            int colon = fault.indexOf(": ");
            findings.add(new Finding(Rule.SHAPE, fault.substring(0, colon), fault.substring(colon + 2)));
        }
        secrets("", parsed).forEach(at -> findings.add(new Finding(Rule.SECRET, at, "whoever reads the file has it")));
        if (findings.isEmpty()) {
            findings.addAll(AppValidator.validate(app));
        }
        return new Result(app, findings, places);
    }

    private static App app(Section all, List<Finding> beyond) {
        BlockReader top = new BlockReader("", all, beyond);
        String name = top.text("name");
        String listen = top.text("listen");
        String operators = top.text("operators");
        String discovery = top.text("discovery");
        List<String> networks = top.texts("networks");
        List<String> neverTwice = top.texts("never_twice");
        boolean journaled = top.yes("journaled");
        List<App.Server> servers = labelled(
                all,
                "server",
                beyond,
                (id, of) ->
                        new App.Server(id, of.text("address"), of.whole("rack"), of.word("state", App.State.class)));
        List<App.Pool> pools = labelled(all, "pool", beyond, (id, of) -> new App.Pool(id, of.texts("servers")));
        List<App.RequestClass> classes = labelled(all, "class", beyond, AppParser::work);
        List<App.Tenant> tenants = labelled(all, "tenant", beyond, (id, of) -> new App.Tenant(id, of.number("share")));
        double quota = top.number("quota");
        App.Health health = all.has("health") ? part(all, "health", beyond, AppParser::health) : null;
        App app = new App(
                name,
                listen,
                operators,
                discovery,
                networks,
                neverTwice,
                journaled,
                servers,
                pools,
                classes,
                tenants,
                quota,
                part(all, "keys", beyond, of -> new App.Keys(of.time("kept"), group(of.word("shared", Shared.class)))),
                part(all, "members", beyond, AppParser::members),
                health,
                part(all, "limits", beyond, AppParser::limits),
                part(all, "rules", beyond, AppParser::rules),
                part(all, "orders", beyond, of -> new App.Journal(of.text("folder"), of.time("late"))),
                part(
                        all,
                        "logs",
                        beyond,
                        of -> new App.Logs(of.word("form", Form.class) == Form.JSON, of.whole("queue"))),
                beyond);
        top.end();
        return app;
    }

    private static <T> List<T> labelled(
            Section all, String type, List<Finding> beyond, BiFunction<String, BlockReader, T> read) {
        List<T> found = new ArrayList<>();
        all.labelledBlocks(type, type.equals("class")).forEach((label, of) -> {
            BlockReader block = new BlockReader(type, of, beyond);
            found.add(read.apply(label, block));
            block.end();
        });
        return found;
    }

    private static <T> T part(Section all, String type, List<Finding> beyond, Function<BlockReader, T> read) {
        BlockReader block = new BlockReader(type, all.blockOrEmpty(type), beyond);
        T part = read.apply(block);
        block.end();
        return part;
    }

    private static App.RequestClass work(String name, BlockReader of) {
        return new App.RequestClass(
                name,
                switch (of.word("again", Again.class)) {
                    case SAFE -> RetrySafety.SAFE;
                    case KEYED -> RetrySafety.KEYED;
                    case NEVER_TWICE -> RetrySafety.UNSAFE;
                },
                group(of.word("group", Shared.class)),
                of.time("window"),
                of.time("aim"),
                of.time("deadline"),
                of.number("worth"),
                of.number("late_worth"),
                of.text("pool"),
                of.whole("attempts"),
                of.yes("second_copies"));
    }

    private static DedupScope group(Shared shared) {
        return shared == Shared.ALL ? DedupScope.ALL : DedupScope.CELL;
    }

    private static App.Members members(BlockReader of) {
        return new App.Members(
                of.text("file"),
                of.text("list"),
                of.time("refresh"),
                of.time("back_off"),
                of.number("most_lost"),
                of.time("sure"),
                of.text("state"));
    }

    private static App.Health health(BlockReader of) {
        return new App.Health(
                of.text("path"),
                of.time("every"),
                of.time("timeout"),
                of.whole("fall"),
                of.whole("rise"),
                of.number("most_out"),
                of.time("hold"),
                of.time("most_hold"));
    }

    private static App.Limits limits(BlockReader of) {
        return new App.Limits(
                of.whole("attempts"),
                of.yes("second_copies"),
                of.time("connect"),
                of.time("idle"),
                of.time("retry_after"),
                of.whole("sockets"),
                of.whole("memory_mib"));
    }

    private static App.Rules rules(BlockReader of) {
        return new App.Rules(
                of.time("drain"), of.number("cold_from"), of.time("cold"), of.number("overload"), of.time("fall"));
    }

    private static List<String> secrets(String path, Map<?, ?> fields) {
        List<String> found = new ArrayList<>();
        fields.forEach((key, value) -> {
            String at = path.isEmpty() ? key.toString() : path + "." + key;
            if (value instanceof Map<?, ?> map) {
                found.addAll(secrets(at, map));
            } else if (key.toString().matches(SECRETS) && !key.toString().endsWith("_file")) {
                found.add(at);
            }
        });
        return found;
    }
}
