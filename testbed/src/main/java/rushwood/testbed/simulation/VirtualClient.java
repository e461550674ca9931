package rushwood.testbed.simulation;

import java.util.SplittableRandom;
import rushwood.api.GroupId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.testbed.load.PopulationSpec;
import rushwood.testbed.load.ReportNames;

/** A client in virtual time. It sends one request to one router, with retries. */
final class VirtualClient {
  private static final long NOT_STARTED = -1;
  private static final long FIRST_FINGERPRINT = 1; // 0 means that a request has none

  private final SimulationContext context;
  private final EventQueue events;
  private final VirtualRouter router;
  private final int number;
  private final PopulationSpec spec;
  private final RequestClass requestClass;
  private final SplittableRandom random;
  private long startedAt = NOT_STARTED;
  private int triesMade;
  private boolean tryEnded;

  /**
   * Creates a client that has sent nothing yet.
   *
   * @param number a number that no other client of the simulation has
   * @param random the source of random numbers, shared by all clients of the population
   */
  VirtualClient(
      SimulationContext context,
      VirtualRouter router,
      int number,
      PopulationSpec spec,
      RequestClass requestClass,
      SplittableRandom random) {
    this.context = context;
    this.router = router;
    this.number = number;
    this.spec = spec;
    this.requestClass = requestClass;
    this.random = random;
    events = context.events();
  }

  /** Starts the next try: sends the request to the router and schedules the try's deadline. */
  void startTry() {
    startedAt = startedAt == NOT_STARTED ? events.now() : startedAt;
    triesMade++;
    tryEnded = false;
    context.counts().tryStarted();
    incrementSeries(ReportNames.TRIES_SERIES);
    int tryNumber = triesMade;
    long deadline = events.now() + spec.tryTimeoutNanos();
    RequestId id = new RequestId(number + "-" + triesMade);
    Request request = newRequest(id, deadline - SimulationContext.ONE_WAY_LATENCY_NANOS);
    events.scheduleAfter(
        SimulationContext.ONE_WAY_LATENCY_NANOS, () -> router.requestArrived(request, this));
    events.schedule(deadline, () -> onDeadline(id, tryNumber));
  }

  private Request newRequest(RequestId id, long deadline) {
    long fingerprint = number + FIRST_FINGERPRINT;
    return new Request(
        id, requestClass, null, new GroupId(spec.group()), deadline, 0, fingerprint, 0);
  }

  /** Returns the number of the client that sent a request, which is the same in all its tries. */
  static int numberOf(Request request) {
    return (int) (request.fingerprint() - FIRST_FINGERPRINT);
  }

  private void onDeadline(RequestId id, int tryNumber) {
    if (triesMade == tryNumber && !tryEnded) {
      tryEnded = true;
      router.clientDisconnected(id);
      handleUnknownOutcome();
    }
  }

  /** Handles a successful answer; it is ignored if the try has already ended. */
  void onSuccess() {
    if (!tryEnded) {
      tryEnded = true;
      context.counts().clientSucceeded(events.elapsed());
      incrementSeries(ReportNames.GOODPUT_SERIES);
      context.result().recordCompletion(events.now() - startedAt);
    }
  }

  /** Handles a rejection of the try; {@code retryAfterNanos} is 0 without a Retry-After. */
  void onRejected(long retryAfterNanos) {
    if (!tryEnded) {
      tryEnded = true;
      context.counts().tryRejected(spec.group());
      retryOrFinish(retryAfterNanos);
    }
  }

  /** Handles a failure of the try, after which the request may have run. */
  void onFailed() {
    if (!tryEnded) {
      tryEnded = true;
      handleUnknownOutcome();
    }
  }

  private void handleUnknownOutcome() {
    if (requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
      context.counts().clientOutcomeUnknown();
    } else {
      retryOrFinish(0);
    }
  }

  private void retryOrFinish(long retryAfterNanos) {
    if (triesMade >= spec.maxTries()) {
      context.counts().clientTriesExhausted();
    } else {
      long delay = spec.retryBehavior().retryDelay(triesMade, retryAfterNanos, random);
      events.scheduleAfter(delay, this::startTry);
    }
  }

  private void incrementSeries(String series) {
    context.result().addToSeries(series, events.elapsed(), 1);
  }
}
