package kitemux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.CharacterCodingException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import kitemux.app.AppParser;
import kitemux.app.ConfigMigration;
import kitemux.app.ConfigWriter;
import kitemux.app.Differences;
import kitemux.app.Field;
import kitemux.app.FieldReference;
import kitemux.app.Fields;
import kitemux.app.Finding;
import kitemux.app.FindingReport;
import kitemux.app.Rule;
import kitemux.app.StarterTemplates;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Configurations: described in HCL, held against rules, written as a node reads them. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = {
            "Checks an application's description and writes a node's configuration from it.",
            "Exit code 0: no fault; 1: faults, each on a line; 2: the call or a file cannot be used."
        })
final class ConfigCommand {
    @Spec
    private CommandSpec spec;

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    private static String read(Path file) throws IOException {
        try {
            return Files.readString(file);
        } catch (CharacterCodingException e) {
            throw new IOException(file + " is not UTF-8", e);
        } catch (IOException e) {
            throw new IOException(file + " cannot be read: " + e, e);
        }
    }

    /** Tells what was found in a file; whether there was nothing. */
    private boolean tell(Path file, AppParser.Result reading) {
        boolean sound = tell(file, reading, err()::println);
        err().flush();
        return sound;
    }

    /** The same, to wherever lines go. */
    static boolean tell(Path file, AppParser.Result reading, Consumer<String> say) {
        for (Finding finding : reading.findings()) {
            boolean isPlace = finding.location().matches("\\d+:\\d+");
            say.accept(
                    finding.location().isEmpty()
                            ? file + finding.format()
                            : isPlace
                                    ? file + ":" + finding.format()
                                    : reading.places().withLocation(file.toString(), finding.format()));
        }
        return reading.findings().isEmpty();
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Holds descriptions against all rules.")
    int check(
            @Parameters(paramLabel = "FILE", arity = "1..*") List<Path> files,
            @Option(
                            names = "--as",
                            paramLabel = "FORM",
                            defaultValue = "text",
                            description = "text, to standard error; json or sarif, to standard output; " + "text")
                    Form form) {
        List<FindingReport.LocatedFinding> all = new ArrayList<>();
        boolean sound = true;
        for (Path file : files) {
            try {
                AppParser.Result reading = AppParser.parse(read(file));
                sound &= reading.findings().isEmpty();
                if (form == Form.text) {
                    tell(file, reading);
                } else {
                    all.addAll(FindingReport.locate(file.toString(), reading));
                }
            } catch (IOException e) {
                return unusable(e.getMessage());
            }
        }
        if (form != Form.text) {
            out().println(form == Form.json ? FindingReport.toJson(all) : FindingReport.toSarif(all));
            out().flush();
        }
        return sound ? Main.DONE : Main.FOUND;
    }

    /** How findings are told; picocli takes the names as they are written here. */
    enum Form {
        text,
        json,
        sarif
    }

    private int unusable(String why) {
        err().println("kitemux: " + why);
        err().flush();
        return Main.UNUSABLE;
    }

    @Command(
            name = "init",
            mixinStandardHelpOptions = true,
            description = "Writes a description to begin with; never over a file that is there.")
    int init(
            @Option(
                            names = "--kind",
                            paramLabel = "KIND",
                            required = true,
                            description = "web: all may run again; orders: some must never run twice")
                    String kind,
            @Option(
                            names = "--name",
                            paramLabel = "NAME",
                            defaultValue = "my-application",
                            description = "of the application; my-application")
                    String name,
            @Parameters(paramLabel = "FILE", description = "where it goes") Path file) {
        if (!StarterTemplates.KINDS.contains(kind)) {
            return unusable("--kind is none of " + String.join(", ", StarterTemplates.KINDS) + ": " + kind);
        }
        if (!name.matches("[A-Za-z0-9._-]{1,60}")) {
            return unusable("--name is not 1 to 60 letters, digits, dots, dashes and underscores");
        }
        try {
            Files.writeString(
                    file, StarterTemplates.render(kind, name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            out().println(file + " is sound as it is; put your servers in, then: config check " + file);
            out().flush();
            return Main.DONE;
        } catch (FileAlreadyExistsException e) {
            return unusable(file + " is there already, and stays as it is");
        } catch (IOException e) {
            return unusable(file + " cannot be written: " + e);
        }
    }

    @Command(
            name = "migrate",
            mixinStandardHelpOptions = true,
            description = "A description of a node's configuration; what it has no words for is told.")
    int migrate(@Parameters(paramLabel = "NODE.json") Path file) {
        try {
            ConfigMigration.Result result = ConfigMigration.migrate(Files.readAllBytes(file));
            out().print(result.text());
            out().flush();
            result.omitted().forEach(line -> err().println("not carried over: " + line));
            err().flush();
            // What has been edited by hand may break rules: they are told with it.
            return tell(file, AppParser.parse(result.text())) ? Main.DONE : Main.FOUND;
        } catch (IOException e) {
            return unusable(file + ": " + e.getMessage());
        }
    }

    @Command(
            name = "reference",
            mixinStandardHelpOptions = true,
            description = "All fields of a description, with ranges and defaults, as a page.")
    int reference() {
        out().print(FieldReference.toMarkdown());
        out().flush();
        return Main.DONE;
    }

    @Command(
            name = "schema",
            mixinStandardHelpOptions = true,
            description = "A JSON schema of descriptions, for editors.")
    int schema() {
        out().print(FieldReference.toJsonSchema());
        out().flush();
        return Main.DONE;
    }

    @Command(
            name = "write",
            mixinStandardHelpOptions = true,
            description = "Writes a node's configuration; nothing where a rule is broken.")
    int write(
            @Parameters(paramLabel = "FILE") Path file,
            @Option(names = "--to", paramLabel = "FILE", required = true, description = "where it goes") Path to,
            @Option(
                            names = "--seed",
                            paramLabel = "HEX",
                            defaultValue = "1",
                            description = "for random numbers, 1 to 16 hex digits; 1")
                    String seed) {
        if (!seed.matches("[0-9a-fA-F]{1,16}")) {
            return unusable("--seed is not 1 to 16 hex digits");
        }
        try {
            AppParser.Result reading = AppParser.parse(read(file));
            if (!tell(file, reading)) {
                return Main.FOUND;
            }
            // Whoever reads it meanwhile has the old one or the new one, never a part.
            Path whole = Files.writeString(
                    to.resolveSibling(to.getFileName() + ".new"), ConfigWriter.toJson(reading.app(), seed));
            Files.move(whole, to, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            return Main.DONE;
        } catch (IOException e) {
            return unusable(e.getMessage());
        }
    }

    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "What a description says otherwise than an older one: whose traffic, and how.")
    int diff(
            @Parameters(paramLabel = "OLD", index = "0") Path old,
            @Parameters(paramLabel = "NEW", index = "1") Path next) {
        try {
            AppParser.Result before = AppParser.parse(read(old));
            AppParser.Result after = AppParser.parse(read(next));
            // Both are told, and what is broken is not compared: it may not say what was meant.
            if (!tell(old, before) | !tell(next, after)) {
                return Main.FOUND;
            }
            List<String> lines = Differences.between(before.app(), after.app());
            lines.forEach(out()::println);
            out().flush();
            return Main.DONE;
        } catch (IOException e) {
            return unusable(e.getMessage());
        }
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description =
                    "What a code or a field is about, such as KX102, limits.attempts or limits; " + "or all codes.")
    int explain(@Parameters(paramLabel = "KEY", arity = "0..1") String code) {
        List<Field> fields = code == null ? List.of() : Fields.findSimilar(code);
        fields.forEach(field -> out().println(FieldReference.describe(field)));
        boolean found = !fields.isEmpty();
        for (Rule rule : Rule.values()) {
            if (code == null || rule.code().equals(code.toUpperCase(Locale.ROOT))) {
                out().println(rule.code() + ": " + rule.description() + ". Cure: " + rule.remedy() + ".");
                found = true;
            }
        }
        out().flush();
        if (!found) {
            err().println("kitemux: there is no code and no field " + code);
            err().flush();
        }
        return found ? Main.DONE : Main.UNUSABLE;
    }
}
