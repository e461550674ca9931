package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.NoPolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClassFixture;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;

/** Tests requests whose only host cannot be connected to because of the connect backoff. */
class ConnectPauseTest {
  private static final long MILLISECOND = 1_000_000L;
  private static final GroupId GROUP = new GroupId(0);
  private static final HostId HOST = new HostId("a");
  private static final RequestClass READ =
      RequestClassFixture.eventualRead("read", 0, 400 * MILLISECOND);
  private static final RoutingSettings SETTINGS =
      RoutingSettings.builder()
          .routerCount(1)
          .requestClasses(List.of(READ))
          .clockResolutionNanos(5 * MILLISECOND)
          .maxAttempts(10)
          .coldStartShare(1)
          .warmupNanos(1_000 * MILLISECOND)
          .collapseMultiple(2)
          .collapseWindowNanos(1_000 * MILLISECOND)
          .build();

  private final List<String> sent = new ArrayList<>();
  private final AdjustableOverloadSignals signals = new AdjustableOverloadSignals(SETTINGS);
  private final DefaultRoutingPolicy policy =
      new DefaultRoutingPolicy(SETTINGS, new SplittableRandom(1), new Actions(), signals);

  private final class Actions extends NoPolicyActions {
    @Override
    public void send(RequestId id, HostId host, long timeoutNanos, long startWithinNanos) {
      sent.add(id.value());
    }
  }

  @BeforeEach
  void listHost() {
    policy.endpointsReplaced(
        0,
        List.of(new Endpoint(HOST, GROUP, new ZoneId("z"), 1, 0, false, Endpoint.State.READY)),
        true);
  }

  private void receive(String id, long nowMillis) {
    long now = nowMillis * MILLISECOND;
    policy.requestReceived(
        now, new Request(new RequestId(id), READ, null, GROUP, now + 2_000 * MILLISECOND, 0));
  }

  private void finish(String id, AttemptOutcome outcome, long nowMillis) {
    policy.attemptFinished(
        nowMillis * MILLISECOND,
        new AttemptResult(
            new RequestId(id),
            0,
            HOST,
            outcome,
            MILLISECOND,
            outcome == AttemptOutcome.SUCCESS,
            HostRole.UNKNOWN,
            AttemptResult.NO_POSITION,
            LoadReport.NONE));
  }

  /**
   * One attempt shows that no connection may be opened; the attempts of other requests are not used
   * up as well.
   */
  @Test
  void requestsWaitOnceAnAttemptMayNotConnect() {
    signals.canConnect = false;
    receive("r1", 0);
    finish("r1", AttemptOutcome.NOT_SENT, 1);
    receive("r2", 1);
    receive("r3", 2);
    assertEquals(List.of("r1"), sent);
    signals.canConnect = true;
    policy.timerFired(100 * MILLISECOND);
    assertEquals(
        List.of("r1", "r2", "r3", "r1"),
        sent,
        "r1 is sent again once it has forgotten the hosts that it avoided");
  }

  @Test
  void answerFromHostEndsPause() {
    receive("r0", 0);
    signals.canConnect = false;
    receive("r1", 0);
    finish("r1", AttemptOutcome.NOT_SENT, 1);
    receive("r2", 1);
    assertEquals(List.of("r0", "r1"), sent);
    finish("r0", AttemptOutcome.SUCCESS, 2);
    assertEquals(List.of("r0", "r1", "r2"), sent);
  }

  /** An idle connection that the host had closed is no evidence that the next one fails. */
  @Test
  void hostIsNotPausedWhileConnectsAreAllowed() {
    receive("r1", 0);
    finish("r1", AttemptOutcome.NOT_SENT, 1);
    receive("r2", 1);
    assertEquals(List.of("r1", "r2"), sent);
  }
}
