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
import kitemux.fleet.RunResult;
import kitemux.lab.PageTemplate;
import kitemux.plan.Estimate;
import kitemux.plan.Planner;
import kitemux.plan.QueueingFormulas;

/**
 * What a planner has answered, as text or as JSON.
 *
 * @param broken null where it was not asked
 */
record PlanAnswers(
        Fleet fleet,
        double goal,
        QueueingFormulas.RetryStorm storm,
        Planner.Verdict today,
        Planner.BreakingPoint broken,
        List<Planner.MinimumServers> fewest,
        List<Planner.FailureImpact> losses) {

    /** On paper so much of what clients gave up is worked off all the same: a cancel halts no work. */
    private static final double WASTED = 0.5;

    static PlanAnswers of(Fleet fleet, double goal, Planner planner, Set<String> questions) {
        List<Planner.FailureImpact> losses = new ArrayList<>();
        if (questions.contains("losses")) {
            losses.addAll(planner.failureImpacts(fleet));
            losses.add(planner.overloadPulseImpact(fleet));
        }
        return new PlanAnswers(
                fleet,
                goal,
                QueueingFormulas.retryStorm(
                        fleet.offeredLoad() * fleet.load().maxFactor(),
                        fleet.clients().maxRetries(),
                        WASTED),
                planner.evaluate(fleet),
                questions.contains("breaks") ? planner.findBreakingPoint(fleet) : null,
                questions.contains("boxes") ? planner.findMinimumServers(fleet) : List.of(),
                losses);
    }

    // ---------------------------------------------------------------- text

    void text(PrintWriter out) {
        line(
                out,
                "%d servers on %d racks, %d nodes; %.0f first tries a second are %.2f of what all can do",
                fleet.serverCount(),
                fleet.racks(),
                fleet.nodes().count(),
                fleet.load().ratePerS(),
                fleet.offeredLoad());
        if (storm.isSelfSustaining()) {
            line(
                    out,
                    "on paper a storm of repeats feeds itself: %.2f tries for each first one",
                    storm.stormTriesRatio());
        }
        line(
                out,
                "goal %.3f: %s%s; in time %s, in the worst 10 s %s",
                goal,
                today.meetsGoal() ? "holds" : "does not hold",
                today.isConclusive() ? "" : " (a close call)",
                today.inTimeRatio(),
                today.worstWindowRatio());
        if (today.violationCount() > 0) {
            line(out, "RULES BROKEN %d times, first: %s", today.violationCount(), firstBreak());
        }
        RunResult one = today.runs().get(0);
        one.kinds()
                .forEach(kind -> line(
                        out,
                        "  %s: busy %.2f, the busiest %.2f, at most %d connections, %d slow",
                        kind.name(),
                        kind.utilisation(),
                        kind.maxUtilisation(),
                        kind.maxConnections(),
                        kind.overloadedServers()));
        line(
                out,
                "  nodes: busy %.2f, at most %.1f ms behind; %.2f tries a request; p50 %.1f, p99 %.1f ms",
                one.nodeUtilisation(),
                one.nodeMaxLagUs() / 1e3,
                one.triesPerRequest(),
                one.p50Us() / 1e3,
                one.p99Us() / 1e3);
        if (broken != null) {
            line(
                    out,
                    "breaks between %.2f and %.2f of this load, by:",
                    broken.highestPassingLoad(),
                    broken.lowestFailingLoad());
            broken.causes()
                    .forEach(cause ->
                            line(out, "  %s: %.1f of what is missing", cause.description(), cause.recoveredRatio()));
        }
        fewest.forEach(few -> {
            if (few.count() < 0) {
                line(out, "%s: no number of them holds the goal, %s", few.kind(), few.reason());
            } else {
                line(out, "%s: %d hold the goal, cost %.1f", few.kind(), few.count(), few.cost());
            }
        });
        losses.forEach(loss -> line(
                out,
                "%s: in time %s, in the worst 10 s %.3f, the worst tenant %.3f, %s%s",
                loss.description(),
                loss.inTimeRatio(),
                loss.worstWindowRatio().mean(),
                loss.worstTenantRatio().mean(),
                back(loss),
                loss.violationCount() == 0 ? "" : ", RULES BROKEN " + loss.violationCount() + " times"));
    }

    private String firstBreak() {
        return today.runs().stream()
                .filter(run -> !run.violations().isEmpty())
                .findFirst()
                .map(run -> run.violations().get(0))
                .orElse("");
    }

    private static String back(Planner.FailureImpact loss) {
        if (loss.unrecoveredRatio() == 1) {
            return "does not come back";
        }
        return String.format(Locale.ROOT, "back after %.1f s", loss.recoveryTimeS())
                + (loss.unrecoveredRatio() == 0
                        ? ""
                        : String.format(Locale.ROOT, ", %.0f%% of runs never", 100 * loss.unrecoveredRatio()));
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
            seconds(to, "nothing wrong", Planner.meanInTimeBySecond(today.runs()));
            for (Planner.FailureImpact loss : losses) {
                seconds(to, loss.description(), loss.inTimeBySecond());
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        return PageTemplate.fill(
                "/kitemux/cli/plan.html",
                Map.of(
                        "TITLE",
                        PageTemplate.escapeHtml(title),
                        "ANSWERS",
                        PageTemplate.escapeHtml(answers.toString()),
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
        to.writeNumberField("servers", fleet.serverCount());
        to.writeNumberField("nodes", fleet.nodes().count());
        number(to, "offered", fleet.offeredLoad());
        number(to, "goal", goal);
        to.writeBooleanField("stormFeedsItself", storm.isSelfSustaining());
        to.writeObjectFieldStart("today");
        to.writeBooleanField("holds", today.meetsGoal());
        to.writeBooleanField("surely", today.isConclusive());
        estimate(to, "inTime", today.inTimeRatio());
        estimate(to, "worstWindow", today.worstWindowRatio());
        to.writeNumberField("rulesBroken", today.violationCount());
        to.writeEndObject();
        if (broken != null) {
            to.writeObjectFieldStart("breaks");
            number(to, "holdsAt", broken.highestPassingLoad());
            number(to, "breaksAt", broken.lowestFailingLoad());
            to.writeArrayFieldStart("by");
            for (Planner.Cause cause : broken.causes()) {
                to.writeStartObject();
                to.writeStringField("what", cause.description());
                number(to, "gains", cause.recoveredRatio());
                to.writeEndObject();
            }
            to.writeEndArray();
            to.writeEndObject();
        }
        to.writeArrayFieldStart("fewest");
        for (Planner.MinimumServers few : fewest) {
            to.writeStartObject();
            to.writeStringField("kind", few.kind());
            number(to, "count", few.count() < 0 ? Double.NaN : few.count());
            number(to, "cost", few.cost());
            to.writeStringField("why", few.reason());
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeArrayFieldStart("losses");
        for (Planner.FailureImpact loss : losses) {
            to.writeStartObject();
            to.writeStringField("what", loss.description());
            estimate(to, "inTime", loss.inTimeRatio());
            estimate(to, "worstWindow", loss.worstWindowRatio());
            estimate(to, "worstTenant", loss.worstTenantRatio());
            number(to, "backAfterS", loss.recoveryTimeS());
            number(to, "never", loss.unrecoveredRatio());
            to.writeNumberField("rulesBroken", loss.violationCount());
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
        to.writeNumberField("seeds", of.sampleCount());
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
