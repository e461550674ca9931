package rushwood.testbed.simulation;

import java.util.SplittableRandom;
import rushwood.api.GroupId;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestClass.Idempotency;
import rushwood.api.RequestId;
import rushwood.testbed.load.PopulationSpec;
import rushwood.testbed.load.ReportNames;

/** A client in virtual time: one request, sent to one router in as many tries as it takes. */
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
  private boolean answered;

  /** Client numbers are unique; all clients of a population share its random numbers. */
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

  /** Sends the request, for the first time or again. */
  void startTry() {
    startedAt = startedAt == NOT_STARTED ? events.now() : startedAt;
    triesMade++;
    answered = false;
    context.counts().tryStarted();
    addToSeries(ReportNames.TRIES_SERIES);
    int thisTry = triesMade;
    long deadline = events.now() + spec.tryTimeoutNanos();
    RequestId id = new RequestId(number + "-" + triesMade);
    Request request = newRequest(id, deadline - SimulationContext.ONE_WAY_LATENCY);
    events.scheduleAfter(
        SimulationContext.ONE_WAY_LATENCY, () -> router.requestArrived(request, this));
    events.schedule(deadline, () -> onDeadline(id, thisTry));
  }

  private Request newRequest(RequestId id, long deadline) {
    long fingerprint = number + FIRST_FINGERPRINT;
    return new Request(
        id, requestClass, null, new GroupId(spec.group()), deadline, 0, fingerprint, 0);
  }

  /** The number of the client that made a request, whichever of its tries that is. */
  static int numberOf(Request request) {
    return (int) (request.fingerprint() - FIRST_FINGERPRINT);
  }

  private void onDeadline(RequestId id, int expiredTry) {
    if (triesMade == expiredTry && !answered) {
      answered = true;
      router.clientDisconnected(id);
      handleUnknownOutcome();
    }
  }

  /** The request was served; too late if the try has ended. */
  void onSuccess() {
    if (!answered) {
      answered = true;
      context.counts().clientSucceeded(events.elapsed());
      addToSeries(ReportNames.GOODPUT_SERIES);
      context.result().recordCompletion(events.now() - startedAt);
    }
  }

  /** The router rejected the try; {@code retryAfter} is in nanoseconds, 0 if it named no time. */
  void onRejected(long retryAfter) {
    if (!answered) {
      answered = true;
      context.counts().tryRejected(spec.group());
      retryOrFinish(retryAfter);
    }
  }

  /** The router failed the try: the request may have run. */
  void onFailed() {
    if (!answered) {
      answered = true;
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

  private void retryOrFinish(long retryAfter) {
    if (triesMade >= spec.maxTries()) {
      context.counts().clientTriesExhausted();
    } else {
      long delay = spec.retryBehavior().retryDelay(triesMade, retryAfter, random);
      events.scheduleAfter(delay, this::startTry);
    }
  }

  private void addToSeries(String series) {
    context.result().addToSeries(series, events.elapsed(), 1);
  }
}
