package kitemux.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import kitemux.engine.Observer;
import kitemux.fleet.Fleet;
import kitemux.load.CaptureFile;
import kitemux.load.CapturedRequest;
import kitemux.load.LoadSummary;
import kitemux.load.ServerSpeedEstimator;
import org.junit.jupiter.api.Test;

/** Tests that captured load and work replace those of a fleet description. */
class CapturedWorkloadTest {
    private static final long START_UNIX_US = 1_790_000_000_000_000L;

    private static Fleet yearbook() throws IOException {
        List<String> faults = new ArrayList<>();
        Fleet fleet = FleetFile.read(Files.readString(Path.of("examples", "yearbook.hcl")), faults);
        assertEquals(List.of(), faults);
        return fleet;
    }

    /**
     * Captures ten seconds: 100 requests per second, and 300 from the sixth second on. A tenth are orders,
     * and each request takes two tries.
     */
    private static LoadSummary summary(String firstClass) {
        List<CapturedRequest> requests = new ArrayList<>();
        int number = 0;
        for (int s = 0; s < 10; s++) {
            int perS = s < 5 ? 100 : 300;
            for (int i = 0; i < perS; i++) {
                long atUs = START_UNIX_US + s * 1_000_000L + i * 1_000_000L / perS;
                int classIndex = number % 10 == 0 ? 1 : 0;
                requests.add(new CapturedRequest(
                        atUs,
                        classIndex,
                        number++ % 4 == 0 ? 0 : 1,
                        false,
                        500_000,
                        List.of(),
                        Observer.RequestOutcome.REFUSED,
                        10));
                requests.add(new CapturedRequest(
                        atUs + 500, classIndex, 1, true, 400_000, List.of(), Observer.RequestOutcome.SERVED, 10));
            }
        }
        LoadSummary summary = new LoadSummary(1_000_000, Map.of());
        summary.add(new CaptureFile(
                1,
                "n",
                START_UNIX_US,
                List.of(firstClass, "place-order"),
                List.of("school-a", "school-b"),
                requests,
                0,
                ""));
        return summary;
    }

    @Test
    void capturedLoadReplacesDescribedLoad() throws IOException {
        List<String> faults = new ArrayList<>();
        Fleet fleet = CapturedWorkload.applyLoad(yearbook(), summary("view-page"), faults);
        assertEquals(List.of(), faults);
        assertEquals(List.of(), fleet.validate());
        assertEquals(200, fleet.load().ratePerS(), 1);
        assertEquals(100, fleet.load().ratePerS() * fleet.load().factorAt(2_500_000), 3);
        assertEquals(300, fleet.load().ratePerS() * fleet.load().factorAt(8_000_000), 3);
        assertEquals(0.1, fleet.classes().get(2).share(), 0.001);
        assertTrue(fleet.classes().get(1).share() < 0.001, "no photo was captured");
        // The tenant with six tenths of the share sent a quarter of the requests, the one with four tenths the rest.
        assertEquals(0.25 / 0.6, fleet.tenants().get(0).usageRatio(), 0.01);
        assertEquals(0.75 / 0.4, fleet.tenants().get(1).usageRatio(), 0.01);
        assertEquals(
                yearbook().classes().get(0).meanWorkUs(), fleet.classes().get(0).meanWorkUs());
    }

    @Test
    void capturedWorkIsConvertedFromMeanSpeedToDescribedServers() throws IOException {
        Fleet described = yearbook();
        Fleet fleet = CapturedWorkload.applyWork(
                described,
                List.of(
                        new ServerSpeedEstimator.ClassWork("view-page", 30_000, 29_000, 31_000, 0.97, 500),
                        new ServerSpeedEstimator.ClassWork("place-order", 40_000, 39_000, 41_000, 0.6, 500)));
        assertEquals(List.of(), fleet.validate());
        assertEquals(30_000 * Math.sqrt(0.97 * 0.75), fleet.classes().get(0).meanWorkUs(), 1);
        assertEquals(Fleet.WorkDistribution.EXPONENTIAL, fleet.classes().get(0).distribution());
        assertEquals(described.classes().get(1), fleet.classes().get(1), "photos were not captured");
        assertEquals(Fleet.WorkDistribution.LOGNORMAL, fleet.classes().get(2).distribution());
        assertEquals(0.6, fleet.classes().get(2).cv());
    }

    @Test
    void mismatchOfCaptureAndDescriptionIsReported() throws IOException {
        List<String> faults = new ArrayList<>();
        CapturedWorkload.applyLoad(yearbook(), summary("video"), faults);
        assertEquals(List.of("--load: has class \"video\", which the description does not have"), faults);
        faults.clear();
        CapturedWorkload.applyLoad(yearbook(), new LoadSummary(1_000_000, Map.of()), faults);
        assertTrue(faults.get(0).startsWith("--load: holds 0 first tries"), faults::toString);
    }
}
