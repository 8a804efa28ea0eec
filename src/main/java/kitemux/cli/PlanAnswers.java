package kitemux.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import kitemux.fleet.Fleet;
import kitemux.fleet.Result;
import kitemux.lab.Template;
import kitemux.plan.Estimate;
import kitemux.plan.Planner;
import kitemux.plan.Queues;

/**
 * What a planner has answered, as text or as JSON.
 *
 * @param broken null where it was not asked
 */
record PlanAnswers(
        Fleet fleet,
        double goal,
        Queues.Storm storm,
        Planner.Verdict today,
        Planner.Break broken,
        List<Planner.Fewest> fewest,
        List<Planner.Loss> losses) {

    /** On paper so much of what clients gave up is worked off all the same: a cancel halts no work. */
    private static final double WASTED = 0.5;

    static PlanAnswers of(Fleet fleet, double goal, Planner planner, Set<String> questions) {
        List<Planner.Loss> losses = new ArrayList<>();
        if (questions.contains("losses")) {
            losses.addAll(planner.losses(fleet));
            losses.add(planner.pulse(fleet));
        }
        return new PlanAnswers(
                fleet,
                goal,
                Queues.storm(
                        fleet.offered() * fleet.load().most(), fleet.clients().retries(), WASTED),
                planner.holds(fleet),
                questions.contains("breaks") ? planner.breaksAt(fleet) : null,
                questions.contains("boxes") ? planner.fewest(fleet) : List.of(),
                losses);
    }

    // ---------------------------------------------------------------- text

    void text(PrintWriter out) {
        line(
                out,
                "%d servers on %d racks, %d nodes; %.0f first tries a second are %.2f of what all can do",
                fleet.boxes(),
                fleet.racks(),
                fleet.nodes().count(),
                fleet.load().ratePerS(),
                fleet.offered());
        if (storm.feedsItself()) {
            line(out, "on paper a storm of repeats feeds itself: %.2f tries for each first one", storm.stormy());
        }
        line(
                out,
                "goal %.3f: %s%s; in time %s, in the worst 10 s %s",
                goal,
                today.holds() ? "holds" : "does not hold",
                today.surely() ? "" : " (a close call)",
                today.inTime(),
                today.worstWindow());
        if (today.breaks() > 0) {
            line(out, "RULES BROKEN %d times, first: %s", today.breaks(), firstBreak());
        }
        Result one = today.runs().get(0);
        one.kinds()
                .forEach(kind -> line(
                        out,
                        "  %s: busy %.2f, the busiest %.2f, at most %d connections, %d slow",
                        kind.name(),
                        kind.busy(),
                        kind.busiest(),
                        kind.mostConnections(),
                        kind.choked()));
        line(
                out,
                "  nodes: busy %.2f, at most %.1f ms behind; %.2f tries a request; p50 %.1f, p99 %.1f ms",
                one.nodeBusy(),
                one.nodeMostLateUs() / 1e3,
                one.triesPerWish(),
                one.p50Us() / 1e3,
                one.p99Us() / 1e3);
        if (broken != null) {
            line(out, "breaks between %.2f and %.2f of this load, by:", broken.holdsAt(), broken.breaksAt());
            broken.by().forEach(cause -> line(out, "  %s: %.1f of what is missing", cause.what(), cause.gains()));
        }
        fewest.forEach(few -> {
            if (few.count() < 0) {
                line(out, "%s: no number of them holds the goal, %s", few.kind(), few.why());
            } else {
                line(out, "%s: %d hold the goal, cost %.1f", few.kind(), few.count(), few.cost());
            }
        });
        losses.forEach(loss -> line(
                out,
                "%s: in time %s, in the worst 10 s %.3f, the worst tenant %.3f, %s%s",
                loss.what(),
                loss.inTime(),
                loss.worstWindow().mean(),
                loss.worstTenant().mean(),
                back(loss),
                loss.breaks() == 0 ? "" : ", RULES BROKEN " + loss.breaks() + " times"));
    }

    private String firstBreak() {
        return today.runs().stream()
                .filter(run -> !run.told().isEmpty())
                .findFirst()
                .map(run -> run.told().get(0))
                .orElse("");
    }

    private static String back(Planner.Loss loss) {
        if (loss.never() == 1) {
            return "does not come back";
        }
        return String.format(Locale.ROOT, "back after %.1f s", loss.backAfterS())
                + (loss.never() == 0 ? "" : String.format(Locale.ROOT, ", %.0f%% of runs never", 100 * loss.never()));
    }

    private static void line(PrintWriter out, String format, Object... of) {
        out.println(String.format(Locale.ROOT, format, of));
    }

    // ---------------------------------------------------------------- a page

    /** One page with charts that opens without a network. */
    String page(String title) throws IOException {
        StringWriter answers = new StringWriter();
        text(new PrintWriter(answers, true));
        StringWriter data = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(data)) {
            to.writeStartObject();
            to.writeNumberField("goal", goal);
            to.writeArrayFieldStart("lines");
            seconds(to, "nothing wrong", Planner.bySecond(today.runs()));
            for (Planner.Loss loss : losses) {
                seconds(to, loss.what(), loss.bySecond());
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        return Template.fill(
                "/kitemux/cli/plan.html",
                Map.of(
                        "TITLE",
                        Template.escaped(title),
                        "ANSWERS",
                        Template.escaped(answers.toString()),
                        "DATA",
                        data.toString()));
    }

    private static void seconds(JsonGenerator to, String what, List<Double> values) throws IOException {
        to.writeStartObject();
        to.writeStringField("what", what);
        to.writeArrayFieldStart("values");
        for (double value : values) {
            to.writeNumber(value);
        }
        to.writeEndArray();
        to.writeEndObject();
    }

    // ---------------------------------------------------------------- JSON

    /** One object; what is not a number there, such as a load that nothing breaks, is null. */
    void json(PrintWriter out) throws IOException {
        JsonGenerator to = new JsonFactory().createGenerator(out);
        to.useDefaultPrettyPrinter();
        to.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        to.writeStartObject();
        to.writeNumberField("servers", fleet.boxes());
        to.writeNumberField("nodes", fleet.nodes().count());
        number(to, "offered", fleet.offered());
        number(to, "goal", goal);
        to.writeBooleanField("stormFeedsItself", storm.feedsItself());
        to.writeObjectFieldStart("today");
        to.writeBooleanField("holds", today.holds());
        to.writeBooleanField("surely", today.surely());
        estimate(to, "inTime", today.inTime());
        estimate(to, "worstWindow", today.worstWindow());
        to.writeNumberField("rulesBroken", today.breaks());
        to.writeEndObject();
        if (broken != null) {
            to.writeObjectFieldStart("breaks");
            number(to, "holdsAt", broken.holdsAt());
            number(to, "breaksAt", broken.breaksAt());
            to.writeArrayFieldStart("by");
            for (Planner.Cause cause : broken.by()) {
                to.writeStartObject();
                to.writeStringField("what", cause.what());
                number(to, "gains", cause.gains());
                to.writeEndObject();
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        to.writeArrayFieldStart("fewest");
        for (Planner.Fewest few : fewest) {
            to.writeStartObject();
            to.writeStringField("kind", few.kind());
            number(to, "count", few.count() < 0 ? Double.NaN : few.count());
            number(to, "cost", few.cost());
            to.writeStringField("why", few.why());
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeArrayFieldStart("losses");
        for (Planner.Loss loss : losses) {
            to.writeStartObject();
            to.writeStringField("what", loss.what());
            estimate(to, "inTime", loss.inTime());
            estimate(to, "worstWindow", loss.worstWindow());
            estimate(to, "worstTenant", loss.worstTenant());
            number(to, "backAfterS", loss.backAfterS());
            number(to, "never", loss.never());
            to.writeNumberField("rulesBroken", loss.breaks());
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeEndObject();
        to.close();
        out.println();
    }

    private static void estimate(JsonGenerator to, String field, Estimate of) throws IOException {
        to.writeObjectFieldStart(field);
        number(to, "mean", of.mean());
        number(to, "low", of.low());
        number(to, "high", of.high());
        to.writeNumberField("seeds", of.seeds());
        to.writeEndObject();
    }

    private static void number(JsonGenerator to, String field, double value) throws IOException {
        if (Double.isFinite(value)) {
            to.writeNumberField(field, value);
        } else {
            to.writeNullField(field);
        }
    }
}
