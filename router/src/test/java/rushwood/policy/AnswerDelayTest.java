package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.NoPolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;

/** Tests when a request is answered if answers leave the router late. */
class AnswerDelayTest {
  private static final long MILLISECOND = 1_000_000L;
  private static final long DEADLINE = 1_000 * MILLISECOND;
  private static final GroupId GROUP = new GroupId(0);
  private static final RequestClass READ =
      RequestClassFixture.eventualRead("read", 0, 400 * MILLISECOND);
  private static final RoutingSettings SETTINGS =
      RoutingSettings.builder()
          .routerCount(1)
          .requestClasses(List.of(READ))
          .clockResolutionNanos(5 * MILLISECOND)
          .maxAttempts(4)
          .build();

  private final List<Long> timeoutsMillis = new ArrayList<>();
  private final List<String> rejected = new ArrayList<>();
  private final AdjustableOverloadSignals signals = new AdjustableOverloadSignals(SETTINGS);
  private final DefaultRoutingPolicy policy =
      new DefaultRoutingPolicy(SETTINGS, new SplittableRandom(1), new Actions(), signals);

  private final class Actions extends NoPolicyActions {
    @Override
    public void send(RequestId id, HostId host, long timeoutNanos, long startWithinNanos) {
      timeoutsMillis.add(timeoutNanos / MILLISECOND);
    }

    @Override
    public void reject(RequestId id, long retryAfterNanos) {
      rejected.add(id.value());
    }
  }

  @BeforeEach
  void listOneHost() {
    policy.endpointsReplaced(
        0,
        List.of(
            new Endpoint(
                new HostId("a"), GROUP, new ZoneId("z"), 1, 0, true, Endpoint.State.READY)),
        true);
  }

  private void receive(String id, long nowMillis) {
    policy.requestReceived(
        nowMillis * MILLISECOND, new Request(new RequestId(id), READ, null, GROUP, DEADLINE, 0));
  }

  private void fireTimer(long nowMillis) {
    policy.timerFired(nowMillis * MILLISECOND);
  }

  @Test
  void rejectsAtTimerMarginBeforeDeadlineWithoutDelay() {
    receive("r", 0);
    fireTimer(989);
    assertEquals(List.of(), rejected);
    fireTimer(990);
    assertEquals(List.of("r"), rejected);
    assertEquals(List.of(990L), timeoutsMillis);
  }

  /** The delay becomes known only while the host is processing the request. */
  @Test
  void rejectsEarlierByTwiceADelayThatStartsAfterArrival() {
    receive("r", 0);
    signals.answerDelayNanos = 100 * MILLISECOND;
    fireTimer(700);
    assertEquals(List.of(), rejected);
    fireTimer(800);
    assertEquals(List.of("r"), rejected);
  }

  @Test
  void rejectsAtTimerMarginOnceDelayIsOver() {
    signals.answerDelayNanos = 100 * MILLISECOND;
    receive("r", 0);
    signals.answerDelayNanos = 0;
    fireTimer(980);
    assertEquals(List.of(), rejected);
    fireTimer(990);
    assertEquals(List.of("r"), rejected);
  }

  @Test
  void attemptTimeoutExcludesTwiceTheDelay() {
    signals.answerDelayNanos = 150 * MILLISECOND;
    receive("r", 100);
    assertEquals(List.of(600L), timeoutsMillis);
  }

  /** After a pause of seconds, not every later request may be rejected. */
  @Test
  void reservesAtMost400Milliseconds() {
    signals.answerDelayNanos = 5_000 * MILLISECOND;
    receive("r", 100);
    assertEquals(List.of(500L), timeoutsMillis);
  }
}
