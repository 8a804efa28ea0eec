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

/** Parses and validates an application's description in HCL; {@code docs/operate/config.md} lists all fields. */
public final class AppParser {
    /** A longer text is a mistake, such as a wrong file name. */
    private static final int MAX_LENGTH_CHARS = 5 << 20;

    /** Names of fields that hold secrets, in any block. */
    private static final String SECRET_FIELD_PATTERN = "(?i).*(password|passwd|secret|token|api_?key|private_?key).*";

    private AppParser() {}

    /** Values of the field {@code again} of a class. */
    private enum RetrySafetyWord {
        SAFE,
        KEYED,
        NEVER_TWICE
    }

    /** Values of the fields {@code group} of a class and {@code shared} of the keys. */
    private enum DedupScopeWord {
        ALL,
        RACK
    }

    /** Values of the field {@code form} of the logs. */
    private enum LogFormat {
        TEXT,
        JSON
    }

    /**
     * A parsed description with its findings.
     *
     * @param app the description; null if the text is too long or not HCL. It is valid only if there are no findings
     * @param findings everything that is wrong; empty if the description is valid
     * @param places positions of the fields and blocks in the text
     */
    public record Result(App app, List<Finding> findings, SourceLocations places) {}

    /**
     * Parses a description and checks it against all rules. The rules on its meaning are checked only if the text is
     * well formed.
     *
     * @param source the text, with or without a byte order mark
     */
    public static Result parse(String source) {
        String text = source.startsWith("\uFEFF") ? source.substring(1) : source;
        SourceLocations places = SourceLocations.of(text);
        List<Finding> findings = new ArrayList<>();
        if (text.length() > MAX_LENGTH_CHARS) {
            findings.add(new Finding(
                    Rule.SHAPE,
                    "",
                    "the file is too long: it has " + text.length() + " characters; at most " + MAX_LENGTH_CHARS
                            + " are read"));
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
            findings.add(new Finding(Rule.SHAPE, "", "the text is not valid HCL: " + e.getMessage()));
            return new Result(null, findings, places);
        }
        List<String> faults = new ArrayList<>();
        List<Finding> rangeFindings = new ArrayList<>();
        App app = readApp(new Section("", parsed, faults), rangeFindings);
        for (String fault : faults) {
            int colon = fault.indexOf(": ");
            findings.add(new Finding(Rule.SHAPE, fault.substring(0, colon), fault.substring(colon + 2)));
        }
        findSecrets("", parsed)
                .forEach(location -> findings.add(
                        new Finding(Rule.SECRET, location, "everyone who can read the file can read the secret")));
        if (findings.isEmpty()) {
            findings.addAll(AppValidator.validate(app));
        }
        return new Result(app, findings, places);
    }

    private static App readApp(Section root, List<Finding> rangeFindings) {
        BlockReader top = new BlockReader("", root, rangeFindings);
        String name = top.readText("name");
        String listen = top.readText("listen");
        String operators = top.readText("operators");
        String discovery = top.readText("discovery");
        List<String> networks = top.readTextList("networks");
        List<String> neverTwice = top.readTextList("never_twice");
        boolean journaled = top.readBoolean("journaled");
        List<App.Server> servers = readLabelledBlocks(
                root,
                "server",
                rangeFindings,
                (label, block) -> new App.Server(
                        label,
                        block.readText("address"),
                        block.readInteger("rack"),
                        block.readEnum("state", App.State.class)));
        List<App.Pool> pools = readLabelledBlocks(
                root, "pool", rangeFindings, (label, block) -> new App.Pool(label, block.readTextList("servers")));
        List<App.RequestClass> classes = readLabelledBlocks(root, "class", rangeFindings, AppParser::readRequestClass);
        List<App.Tenant> tenants = readLabelledBlocks(
                root, "tenant", rangeFindings, (label, block) -> new App.Tenant(label, block.readNumber("share")));
        double quota = top.readNumber("quota");
        App.Health health = root.has("health") ? readBlock(root, "health", rangeFindings, AppParser::readHealth) : null;
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
                readBlock(
                        root,
                        "keys",
                        rangeFindings,
                        block -> new App.Keys(
                                block.readDurationUs("kept"),
                                toDedupScope(block.readEnum("shared", DedupScopeWord.class)))),
                readBlock(root, "members", rangeFindings, AppParser::readMembers),
                health,
                readBlock(root, "limits", rangeFindings, AppParser::readLimits),
                readBlock(root, "rules", rangeFindings, AppParser::readRules),
                readBlock(
                        root,
                        "orders",
                        rangeFindings,
                        block -> new App.Journal(block.readText("folder"), block.readDurationUs("late"))),
                readBlock(
                        root,
                        "logs",
                        rangeFindings,
                        block -> new App.Logs(
                                block.readEnum("form", LogFormat.class) == LogFormat.JSON, block.readInteger("queue"))),
                rangeFindings);
        top.finish();
        return app;
    }

    private static <T> List<T> readLabelledBlocks(
            Section root, String type, List<Finding> rangeFindings, BiFunction<String, BlockReader, T> reader) {
        List<T> blocks = new ArrayList<>();
        root.labelledBlocks(type, type.equals("class")).forEach((label, section) -> {
            BlockReader block = new BlockReader(type, section, rangeFindings);
            blocks.add(reader.apply(label, block));
            block.finish();
        });
        return blocks;
    }

    private static <T> T readBlock(
            Section root, String type, List<Finding> rangeFindings, Function<BlockReader, T> reader) {
        BlockReader block = new BlockReader(type, root.blockOrEmpty(type), rangeFindings);
        T result = reader.apply(block);
        block.finish();
        return result;
    }

    private static App.RequestClass readRequestClass(String name, BlockReader block) {
        return new App.RequestClass(
                name,
                switch (block.readEnum("again", RetrySafetyWord.class)) {
                    case SAFE -> RetrySafety.SAFE;
                    case KEYED -> RetrySafety.KEYED;
                    case NEVER_TWICE -> RetrySafety.UNSAFE;
                },
                toDedupScope(block.readEnum("group", DedupScopeWord.class)),
                block.readDurationUs("window"),
                block.readDurationUs("aim"),
                block.readDurationUs("deadline"),
                block.readNumber("worth"),
                block.readNumber("late_worth"),
                block.readText("pool"),
                block.readInteger("attempts"),
                block.readBoolean("second_copies"));
    }

    private static DedupScope toDedupScope(DedupScopeWord word) {
        return word == DedupScopeWord.ALL ? DedupScope.ALL : DedupScope.CELL;
    }

    private static App.Members readMembers(BlockReader block) {
        return new App.Members(
                block.readText("file"),
                block.readText("list"),
                block.readDurationUs("refresh"),
                block.readDurationUs("back_off"),
                block.readNumber("most_lost"),
                block.readDurationUs("sure"),
                block.readText("state"));
    }

    private static App.Health readHealth(BlockReader block) {
        return new App.Health(
                block.readText("path"),
                block.readDurationUs("every"),
                block.readDurationUs("timeout"),
                block.readInteger("fall"),
                block.readInteger("rise"),
                block.readNumber("most_out"),
                block.readDurationUs("hold"),
                block.readDurationUs("most_hold"));
    }

    private static App.Limits readLimits(BlockReader block) {
        return new App.Limits(
                block.readInteger("attempts"),
                block.readBoolean("second_copies"),
                block.readDurationUs("connect"),
                block.readDurationUs("idle"),
                block.readDurationUs("retry_after"),
                block.readInteger("sockets"),
                block.readInteger("memory_mib"));
    }

    private static App.Rules readRules(BlockReader block) {
        return new App.Rules(
                block.readDurationUs("drain"),
                block.readNumber("cold_from"),
                block.readDurationUs("cold"),
                block.readNumber("overload"),
                block.readDurationUs("fall"));
    }

    private static List<String> findSecrets(String path, Map<?, ?> fields) {
        List<String> found = new ArrayList<>();
        fields.forEach((key, value) -> {
            String location = path.isEmpty() ? key.toString() : path + "." + key;
            if (value instanceof Map<?, ?> map) {
                found.addAll(findSecrets(location, map));
            } else if (key.toString().matches(SECRET_FIELD_PATTERN)
                    && !key.toString().endsWith("_file")) {
                found.add(location);
            }
        });
        return found;
    }
}
