package rushwood.testbed.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rushwood.api.AttemptOutcome;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.Request;
import rushwood.api.ZoneId;
import rushwood.testbed.load.HostSpec;
import rushwood.testbed.model.HostModel;
import rushwood.testbed.model.WriteLedger;

/** A host in virtual time: its model and the attempts in flight to it. */
final class VirtualHost {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final ZoneId ZONE = new ZoneId("a");
  private static final double WEIGHT = 1;

  private final HostSpec spec;
  private final HostId id;
  private final HostModel model;
  private final EventQueue events;
  private final WriteLedger ledger;
  private final Set<VirtualAttempt> attemptsInFlight = new LinkedHashSet<>();
  private long startedMillis;

  VirtualHost(HostSpec spec, HostModel model, EventQueue events, WriteLedger ledger) {
    this.spec = spec;
    id = new HostId(spec.id());
    this.model = model;
    this.events = events;
    this.ledger = ledger;
  }

  HostId id() {
    return id;
  }

  HostModel model() {
    return model;
  }

  int group() {
    return spec.group();
  }

  double rate() {
    return spec.rate();
  }

  /** Returns the host as discovery lists it, with its present role. */
  Endpoint toEndpoint() {
    return new Endpoint(
        id,
        new GroupId(spec.group()),
        ZONE,
        WEIGHT,
        startedMillis * NANOS_PER_MILLI,
        model.isPrimary(),
        Endpoint.State.READY);
  }

  /** Crashes the host's process; attempts in flight end when their routers lose the connection. */
  void crash() {
    model.crash();
    List.copyOf(attemptsInFlight)
        .forEach(attempt -> endAfterLatency(attempt, AttemptOutcome.CONNECTION_LOST));
  }

  /** Starts a new process of the host. */
  void restart() {
    model.restart(events.now());
    startedMillis = events.now() / NANOS_PER_MILLI;
  }

  /** Sends the host an attempt, which arrives after the one-way latency. */
  void send(VirtualAttempt attempt, long timeoutNanos) {
    attemptsInFlight.add(attempt);
    events.scheduleAfter(timeoutNanos, () -> attempt.end(AttemptOutcome.TIMED_OUT));
    events.scheduleAfter(SimulationContext.ONE_WAY_LATENCY_NANOS, () -> receive(attempt));
  }

  /** Removes an attempt that has ended from those in flight. */
  void attemptEnded(VirtualAttempt attempt) {
    attemptsInFlight.remove(attempt);
  }

  private void receive(VirtualAttempt attempt) {
    HostModel.OfferResult result = model.offer(events.now(), attempt.requestKind());
    switch (result.status()) {
      case NO_RESPONSE -> {
        if (!model.isUp()) {
          crash(); // the offer crashed the model by overload, or it was down already
        }
      }
      case OVERLOADED -> endAfterLatency(attempt, AttemptOutcome.OVERLOADED);
      case NOT_PRIMARY, REPLICA_LAGGING -> endAfterLatency(attempt, AttemptOutcome.REPLICA_LAGGING);
      case ACCEPTED -> {
        int incarnation = model.incarnation();
        events.schedule(result.completesAt(), () -> complete(attempt, incarnation));
      }
    }
  }

  /** Completes an attempt, unless the process that accepted it has crashed in the meantime. */
  private void complete(VirtualAttempt attempt, int incarnation) {
    if (model.incarnation() != incarnation) {
      return;
    }
    if (attempt.isWrite()) {
      Request request = attempt.request().details();
      ledger.recordExecution(VirtualClient.numberOf(request), request.id().value());
    }
    endAfterLatency(attempt, AttemptOutcome.SUCCESS);
  }

  private void endAfterLatency(VirtualAttempt attempt, AttemptOutcome outcome) {
    events.scheduleAfter(SimulationContext.ONE_WAY_LATENCY_NANOS, () -> attempt.end(outcome));
  }
}
