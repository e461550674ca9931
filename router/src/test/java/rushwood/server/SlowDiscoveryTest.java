package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.server.RouterProcessFixture.endpointJson;
import static rushwood.server.Statements.SERVED;
import static rushwood.server.Statements.read;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A discovery agent that answers late. */
class SlowDiscoveryTest {
  /** The time within which the router has to know a change that its agent has. */
  private static final long MAX_UPDATE_MILLIS = 6000;

  private static final long OBSERVED_MILLIS = 1000;

  /** What is late, and from when on. */
  private enum Slowness {
    LISTS_ONLY(true, discovery -> discovery.listDelayMillis = 2000),
    WATCHES_ONLY(true, discovery -> discovery.watchDelayMillis = 2000),
    LATE_LISTS_IN_PARTS(
        true,
        discovery -> {
          discovery.listDelayMillis = 700;
          discovery.listSendMillis = 1500;
        }),
    ALL_CALLS_SINCE_THE_CHANGE(false, discovery -> discovery.answerDelayMillis = 2000),
    LISTS_IN_PARTS_SINCE_THE_CHANGE(false, discovery -> discovery.listSendMillis = 2000),
    LATE_LISTS_OF_WHICH_ONE_BREAKS_OFF(
        false,
        discovery -> {
          discovery.answerDelayMillis = 1500;
          discovery.truncatedLists.set(1);
        });

    private final boolean isFromStart;

    @SuppressWarnings("ImmutableEnumChecker") // the lambdas are immutable
    private final Consumer<StandInDiscovery> start;

    Slowness(boolean isFromStart, Consumer<StandInDiscovery> start) {
      this.isFromStart = isFromStart;
      this.start = start;
    }
  }

  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** Guards against a router that goes on sending requests to a host that drains. */
  @ParameterizedTest
  @ValueSource(longs = {700, 2000})
  void drainIsObeyedInTime(long answerDelayMillis) throws Exception {
    router.discovery().answerDelayMillis = answerDelayMillis;
    router.launchAndAwaitReady();
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("first")));
      startDrain();
      assertDrainIsObeyed(client, System.nanoTime());
    }
  }

  /** Guards against a drain that is learned only from an agent whose calls are all as slow. */
  @ParameterizedTest
  @EnumSource(Slowness.class)
  void drainIsObeyedInTimeWhateverIsSlow(Slowness slowness) throws Exception {
    if (slowness.isFromStart) {
      slowness.start.accept(router.discovery());
    }
    router.launchAndAwaitReady();
    try (TestClient client = router.connect()) {
      assertEquals(SERVED, client.query(read("first")));
      if (!slowness.isFromStart) {
        slowness.start.accept(router.discovery());
      }
      startDrain();
      assertDrainIsObeyed(client, System.nanoTime());
    }
  }

  /** Guards against a reload that starts the wait for a slow answer again. */
  @Test
  void drainIsObeyedInTimeAlthoughTheConfigurationIsReloaded() throws Exception {
    router.discovery().answerDelayMillis = 2000;
    router.launchAndAwaitReady();
    try (TestClient client = router.connect()) {
      startDrain();
      long changedAt = System.nanoTime();
      for (long millis = 500; millis <= 3500; millis += 1000) {
        readUntil(client, changedAt, millis, "reload" + millis + "-");
        router.sendSignal("HUP");
      }
      assertDrainIsObeyed(client, changedAt);
    }
  }

  private void startDrain() {
    router.discovery().endpointList =
        router.endpointListJson(
            true,
            endpointJson("a", router.primary(), "Ready"),
            endpointJson("b", router.replica(), "Terminating"));
  }

  private void assertDrainIsObeyed(TestClient client, long changedAt) throws Exception {
    readUntil(client, changedAt, MAX_UPDATE_MILLIS, "before");
    router.replica().receivedStatements.clear();
    readUntil(client, changedAt, MAX_UPDATE_MILLIS + OBSERVED_MILLIS, "after");
    List<String> received =
        router.replica().receivedStatements.stream()
            .filter(statement -> statement.startsWith("SELECT val"))
            .toList();
    assertEquals(List.of(), received, "reads sent to the host that drains");
  }

  private void readUntil(TestClient client, long since, long elapsedMillis, String idPrefix)
      throws Exception {
    long end = since + TimeUnit.MILLISECONDS.toNanos(elapsedMillis);
    for (int i = 0; System.nanoTime() < end; i++) {
      assertEquals(SERVED, client.query(read(idPrefix + i)), this::describeRouter);
    }
  }

  /** Returns the time and the router's log, for a failure that has to be traced. */
  private String describeRouter() {
    return Instant.now() + ", log of the router: " + router.output();
  }
}
