package rushwood.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.NoPolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Consistency;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestClass.KeyScope;
import rushwood.api.RequestId;
import rushwood.api.RoutingSettings;
import rushwood.api.RoutingSettings.LaggingReadBehavior;
import rushwood.api.ZoneId;

/** Tests each case in which a request is sent, waits, is rejected or fails, with its reason. */
class RequestDeciderTest {
  private static final long MILLISECOND = 1_000_000L;
  private static final long NOW = 1_000_000 * MILLISECOND;
  private static final long TIMEOUT = 1_000 * MILLISECOND;
  private static final long IDEMPOTENCY_WINDOW = 500 * MILLISECOND;
  private static final int MAX_ATTEMPTS = 4;
  private static final GroupId GROUP = new GroupId(0);

  private static final RequestClass READ = requestClass(0, Idempotency.IDEMPOTENT, false);
  private static final RequestClass KEYED_WRITE =
      requestClass(1, Idempotency.IDEMPOTENCY_KEY, true);
  private static final RequestClass WRITE = requestClass(2, Idempotency.NON_IDEMPOTENT, true);

  private final AdjustableOverloadSignals signals = new AdjustableOverloadSignals(settings());
  private final PolicyComponents components =
      new PolicyComponents(settings(), new SplittableRandom(1), new NoPolicyActions(), signals);

  private static RequestClass requestClass(int index, Idempotency idempotency, boolean isWrite) {
    return new RequestClass(
        "class" + index,
        index,
        400 * MILLISECOND,
        idempotency,
        KeyScope.GLOBAL,
        IDEMPOTENCY_WINDOW,
        isWrite,
        Consistency.EVENTUAL,
        0,
        1);
  }

  private static RoutingSettings settings() {
    return RoutingSettings.builder()
        .routerCount(1)
        .requestClasses(List.of(READ, KEYED_WRITE, WRITE))
        .laggingReadBehavior(LaggingReadBehavior.REJECTS)
        .maxAttempts(MAX_ATTEMPTS)
        .clockResolutionNanos(5 * MILLISECOND)
        .isRemovalBinding(true)
        .coldStartShare(1)
        .warmupNanos(1_000 * MILLISECOND)
        .collapseMultiple(2)
        .collapseWindowNanos(1_000 * MILLISECOND)
        .refreshWithinNanos(10_000 * MILLISECOND)
        .build();
  }

  private HostState list(String id, boolean isPrimary) {
    HostId hostId = new HostId(id);
    components.endpointPolicy.endpointListed(
        new Endpoint(hostId, GROUP, new ZoneId("z"), 1, 0, isPrimary, Endpoint.State.READY));
    return components.hosts.host(hostId);
  }

  private PendingRequest request(RequestClass requestClass) {
    Request request = new Request(new RequestId("r"), requestClass, null, GROUP, NOW + TIMEOUT, 0);
    return new PendingRequest(request, components.hosts.group(GROUP), NOW);
  }

  private static PendingRequest attempted(
      PendingRequest pending, HostState host, AttemptOutcome outcome) {
    pending.startAttempt(host, NOW, false).end(outcome);
    return pending;
  }

  private Decision decide(PendingRequest pending) {
    return components.decider.decide(pending, NOW);
  }

  private static void fillSlots(HostState host) {
    while (host.occupiedSlots() < host.concurrency.limit()) {
      host.inFlight.add(new Attempt(PolicyFixtures.pendingRead("x"), host, NOW, false));
    }
  }

  @Test
  void sendsReadToReplicaAndWriteToPrimary() {
    HostState primary = list("a", true);
    HostState replica = list("b", false);
    assertSame(replica.sendDecision, decide(request(READ)));
    assertSame(primary.sendDecision, decide(request(WRITE)));
  }

  @Test
  void writeWaitsForFreeSlotOfPrimary() {
    fillSlots(list("a", true));
    assertSame(Decision.Wait.PRIMARY_HAS_NO_FREE_SLOT, decide(request(WRITE)));
  }

  @Test
  void writeWaitsWhileAnotherSearchesForPrimary() {
    HostState host = list("a", false);
    assertSame(host.sendDecision, decide(request(WRITE)));
    assertSame(Decision.Wait.PRIMARY_UNKNOWN, decide(request(WRITE)));
  }

  @Test
  void readWaitsForFreeSlotOrSuitableHost() {
    assertSame(Decision.Wait.NO_SUITABLE_HOST, decide(request(READ)));
    HostState replica = list("a", false);
    fillSlots(replica);
    assertSame(Decision.Wait.NO_FREE_SLOT, decide(request(READ)));
    PendingRequest pending = request(READ);
    pending.avoid(replica);
    assertSame(Decision.Wait.NO_SUITABLE_HOST, decide(pending));
  }

  @Test
  void rejectsRequestAtAnswerDeadline() {
    list("a", true);
    PendingRequest pending = request(WRITE);
    assertInstanceOf(
        Decision.Send.class, components.decider.decide(pending, NOW + TIMEOUT - 11 * MILLISECOND));
    assertEquals(
        new Decision.Reject(EndReason.EXPIRED),
        components.decider.decide(pending, NOW + TIMEOUT - 10 * MILLISECOND));
  }

  @Test
  void rejectsRequestAfterMaxAttempts() {
    HostState host = list("a", true);
    PendingRequest pending = request(READ);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      assertInstanceOf(Decision.Send.class, decide(pending));
      attempted(pending, host, AttemptOutcome.OVERLOADED);
    }
    assertEquals(new Decision.Reject(EndReason.ATTEMPTS_USED_UP), decide(pending));
  }

  @Test
  void rejectsRequestAfterTwoErrors() {
    list("a", true);
    HostState replica = list("b", false);
    PendingRequest pending = attempted(request(READ), replica, AttemptOutcome.ERROR);
    assertInstanceOf(Decision.Send.class, decide(pending));
    attempted(pending, replica, AttemptOutcome.ERROR);
    assertEquals(new Decision.Reject(EndReason.TOO_MANY_ERRORS), decide(pending));
  }

  @Test
  void endsRequestWhoseCostlyRetryExceedsBudget() {
    HostState host = list("a", false);
    signals.canRetry = false;
    assertInstanceOf(
        Decision.Send.class, decide(attempted(request(READ), host, AttemptOutcome.NOT_SENT)));
    assertEquals(
        new Decision.Reject(EndReason.RETRY_BUDGET_USED_UP),
        decide(attempted(request(READ), host, AttemptOutcome.OVERLOADED)));
    assertEquals(
        new Decision.Fail(EndReason.RETRY_BUDGET_USED_UP),
        decide(attempted(request(WRITE), host, AttemptOutcome.TIMED_OUT)));
  }

  @Test
  void failsNonIdempotentRequestThatMayHaveRun() {
    HostState host = list("a", true);
    assertInstanceOf(
        Decision.Send.class, decide(attempted(request(WRITE), host, AttemptOutcome.OVERLOADED)));
    assertEquals(
        new Decision.Fail(EndReason.POSSIBLY_EXECUTED),
        decide(attempted(request(WRITE), host, AttemptOutcome.CONNECTION_LOST)));
  }

  @Test
  void failsKeyedRequestThatMayHaveRunNearEndOfWindow() {
    HostState host = list("a", true);
    PendingRequest pending = attempted(request(KEYED_WRITE), host, AttemptOutcome.CONNECTION_LOST);
    long retryDeadline = NOW + IDEMPOTENCY_WINDOW / 10 * 9;
    assertInstanceOf(Decision.Send.class, components.decider.decide(pending, retryDeadline - 1));
    assertEquals(
        new Decision.Fail(EndReason.IDEMPOTENCY_WINDOW_OVER),
        components.decider.decide(pending, retryDeadline));
  }
}
