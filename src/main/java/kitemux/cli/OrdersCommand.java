package kitemux.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import kitemux.bench.KillRuns;
import kitemux.orders.DuplicateMatch;
import kitemux.orders.Entry.Accepted;
import kitemux.orders.JournalReader;
import kitemux.orders.JournalReader.VerificationResult;
import kitemux.orders.OrderHistory;
import kitemux.orders.OrderHistory.State;
import kitemux.orders.OrderHistoryText;
import kitemux.orders.OrderJournal;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks a journal what became of orders; on a live node's folder or a dead one's, and changes nothing. */
@Command(
        name = "orders",
        mixinStandardHelpOptions = true,
        description = "Reads the journal of orders that a node keeps: was one sent, and where?",
        subcommands = {
            OrdersCommand.Ask.class,
            OrdersCommand.Verify.class,
            OrdersCommand.Export.class,
            OrdersCommand.Index.class,
            OrdersCommand.Kills.class
        })
final class OrdersCommand implements Callable<Integer> {
    /** An order that was sent, and nobody knows what became of it; or the node still has it. */
    static final int UNKNOWN = 3;

    @Override
    public Integer call() {
        return unusable("one of ask, verify and export is missing");
    }

    private static int unusable(String why) {
        System.err.println("kitemux: orders: " + why);
        return Main.UNUSABLE;
    }

    private static long time(String since) throws DateTimeParseException {
        return since == null ? Long.MIN_VALUE : ChronoUnit.MICROS.between(Instant.EPOCH, Instant.parse(since));
    }

    /** One question. */
    @Command(
            name = "ask",
            mixinStandardHelpOptions = true,
            description = {
                "Says what became of orders, one a line, the latest last.",
                "Exit code 0: what became of each is known; 1: none was ever taken; 2: the call cannot be used; "
                        + "3: of one at least it is not known whether it ran, or the node still has it."
            })
    static final class Ask implements Callable<Integer> {
        /** Of so many orders kin is looked for; a question that finds more is not about one. */
        private static final int MOST_ASKED = 100;

        @Option(names = "--journal", required = true, paramLabel = "DIR", description = "the journal's folder")
        private Path journal;

        @Option(names = "--order", paramLabel = "ID", description = "the client's id for it (X-Txn)")
        private String order;

        @Option(names = "--key", paramLabel = "KEY", description = "the last part of its path")
        private String key;

        @Option(
                names = "--since",
                paramLabel = "TIME",
                description = "taken then or later, such as 2026-12-01T08:00:00Z")
        private String since;

        @Option(
                names = "--state",
                paramLabel = "STATE",
                description = "only those of this state: ${COMPLETION-CANDIDATES}")
        private State state;

        @Option(names = "--json", description = "lines of JSON")
        private boolean json;

        @Override
        public Integer call() {
            if (order == null && key == null && since == null && state == null) {
                return unusable("one of --order, --key, --since and --state is missing");
            }
            try {
                long sinceUs = time(since);
                Predicate<Accepted> about = taken -> (order == null || order.equals(taken.orderId()))
                        && (key == null || key.equals(taken.key()))
                        && taken.atUs() >= sinceUs;
                boolean live = OrderJournal.isLive(journal);
                int[] found = new int[2];
                List<Accepted> asked = new ArrayList<>();
                Consumer<OrderHistory> print = story -> {
                    State is = story.state(live);
                    if (state != null && is != state) {
                        return;
                    }
                    found[0]++;
                    found[1] += is == State.UNKNOWN || is == State.UNDER_WAY ? 1 : 0;
                    if (asked.size() < MOST_ASKED) {
                        asked.add(story.accepted());
                    }
                    System.out.println(
                            json ? OrderHistoryText.toJson(story, live) : OrderHistoryText.toSentence(story, live));
                };
                if (order == null && key == null) {
                    OrderJournal.reader(journal).forEachHistory(about, print);
                } else {
                    // By one of the two is enough to find it by; the other is looked at in what is found.
                    OrderJournal.reader(journal)
                            .findHistories(
                                    order == null ? Set.of() : Set.of(order),
                                    order != null ? Set.of() : Set.of(key),
                                    Set.of(),
                                    about,
                                    print);
                    tellOfKin(asked, about, live);
                }
                if (found[0] == 0) {
                    if (!json) {
                        System.out.println("never taken");
                    }
                    return Main.FOUND;
                }
                return found[1] > 0 ? UNKNOWN : Main.DONE;
            } catch (DateTimeParseException e) {
                return unusable("--since is no time: " + since);
            } catch (IOException e) {
                return unusable("the journal cannot be read: " + e);
            }
        }

        /** A client that tried again under a new id made another order here: the desk should know of both. */
        private void tellOfKin(List<Accepted> asked, Predicate<Accepted> about, boolean live) throws IOException {
            OrderJournal.reader(journal)
                    .findHistories(
                            Set.of(),
                            texts(asked, Accepted::key),
                            texts(asked, Accepted::idempotencyKey),
                            taken -> !about.test(taken) && kin(asked, taken) != DuplicateMatch.NONE,
                            story -> {
                                DuplicateMatch kin = kin(asked, story.accepted());
                                System.out.println(
                                        json
                                                ? OrderHistoryText.toJson(story, live, kin)
                                                : kin.description() + ": " + OrderHistoryText.toSentence(story, live));
                            });
        }

        private static Set<String> texts(List<Accepted> asked, Function<Accepted, String> of) {
            return asked.stream().map(of).filter(text -> !text.isEmpty()).collect(Collectors.toSet());
        }

        private static DuplicateMatch kin(List<Accepted> asked, Accepted other) {
            return asked.stream()
                    .map(one -> DuplicateMatch.of(one, other))
                    .filter(kin -> kin != DuplicateMatch.NONE)
                    .findFirst()
                    .orElse(DuplicateMatch.NONE);
        }
    }

    /** A check of every byte. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = {
                "Checks every byte of a journal.",
                "Exit code 0: all is sound; 1: something is not, with file and offset; 2: the call cannot be used."
            })
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "the journal's folder")
        private Path journal;

        @Override
        public Integer call() {
            try {
                VerificationResult verdict = OrderJournal.reader(journal).verify();
                verdict.faults().forEach(System.out::println);
                System.out.println(verdict.entries() + " entries in " + verdict.segments() + " segments, "
                        + verdict.faults().size() + " faults"
                        + (verdict.tornBytes() == 0
                                ? ""
                                : "; the last " + verdict.tornBytes()
                                        + " bytes are an entry that was being written, which is no fault"));
                return verdict.faults().isEmpty() ? Main.DONE : Main.FOUND;
            } catch (IOException e) {
                return unusable("the journal cannot be read: " + e);
            }
        }
    }

    /** All of it, for the desk. */
    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Writes all orders as CSV, or as lines of JSON, to standard output.")
    static final class Export implements Callable<Integer> {
        @Option(names = "--journal", required = true, paramLabel = "DIR", description = "the journal's folder")
        private Path journal;

        @Option(names = "--since", paramLabel = "TIME", description = "taken then or later")
        private String since;

        @Option(names = "--json", description = "lines of JSON")
        private boolean json;

        @Override
        public Integer call() {
            try {
                long sinceUs = time(since);
                boolean live = OrderJournal.isLive(journal);
                JournalReader reader = OrderJournal.reader(journal);
                if (!json) {
                    System.out.println(OrderHistoryText.CSV_HEADER);
                }
                reader.forEachHistory(
                        taken -> taken.atUs() >= sinceUs,
                        story -> System.out.println(
                                json ? OrderHistoryText.toJson(story, live) : OrderHistoryText.toCsv(story, live)));
                return Main.DONE;
            } catch (DateTimeParseException e) {
                return unusable("--since is no time: " + since);
            } catch (IOException e) {
                return unusable("the journal cannot be read: " + e);
            }
        }
    }

    /** What makes questions quick. */
    @Command(
            name = "index",
            mixinStandardHelpOptions = true,
            description = {
                "Makes the indexes of ended segments anew that are missing or unsound; all else is left as it is.",
                "Exit code 0: they are there; 2: the call cannot be used, or they cannot be written."
            })
    static final class Index implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "the journal's folder")
        private Path journal;

        @Override
        public Integer call() {
            try {
                System.out.println(OrderJournal.reader(journal).rebuildIndexes() + " indexes were made");
                return Main.DONE;
            } catch (IOException e) {
                return unusable("the journal cannot be indexed: " + e);
            }
        }
    }

    /** Proof by killing. */
    @Command(
            name = "kills",
            mixinStandardHelpOptions = true,
            description = {
                "Kills a node at random moments while orders are placed through it, on one journal, and holds what "
                        + "that says against what stand-in boxes and clients saw.",
                "Exit code 0: it told the truth; 1: it did not; 2: the call cannot be used."
            })
    static final class Kills implements Callable<Integer> {
        private static final int MOST_KILLS = 100_000;

        @Option(names = "--kills", paramLabel = "N", description = "how many; 30 by default")
        private int kills = 30;

        @Option(names = "--seed", paramLabel = "N", description = "which moments; 1 by default")
        private long seed = 1;

        @Option(
                names = "--jar",
                paramLabel = "FILE",
                description = "the build whose node is killed; target/kitemux.jar by default")
        private Path jar = Path.of("target", "kitemux.jar");

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (kills < 1 || kills > MOST_KILLS) {
                return unusable("--kills is not from 1 to " + MOST_KILLS);
            }
            if (!Files.isReadable(jar)) {
                return unusable("--jar cannot be read: " + jar);
            }
            Path folder = Files.createTempDirectory("kitemux-kills");
            List<String> wrong = KillRuns.of(jar, kills, seed, folder).run(System.out);
            if (!wrong.isEmpty()) {
                wrong.forEach(System.out::println);
                System.out.println("the journal is kept in " + folder);
                return Main.FOUND;
            }
            for (Path sub : List.of(folder.resolve("orders"), folder)) {
                for (File left : sub.toFile().listFiles()) {
                    Files.delete(left.toPath());
                }
                Files.delete(sub);
            }
            return Main.DONE;
        }
    }
}
