package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.ZoneId;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.DescriptorBudget;
import rushwood.protocol.TestMessages;

/** The router with links, a clock and decisions that the test plays. */
class RequestDispatcherTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final HostId A = new HostId("a");
  private static final RequestId X = new RequestId("x");

  /** A connection as the test sees it. */
  private final class FakeConnection implements BackendConnection {
    final Listener listener;
    final List<String> sent = new ArrayList<>();
    boolean open = true;
    boolean written = true;

    FakeConnection(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(ByteBuf statement, boolean probe) {
      sent.add(probe ? "probe" : "d=" + statement.readableBytes());
      statement.release();
    }

    @Override
    public boolean isStatementWritten() {
      return written;
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public void close() {
      open = false;
    }

    void respond(AttemptOutcome outcome) {
      ByteBuf row = outcome == AttemptOutcome.SUCCESS ? TestMessages.buffer(new byte[] {1}) : null;
      listener.responseReceived(
          new BackendResponse(outcome, row, HostRole.UNKNOWN, -1, LoadReport.NONE), true);
    }
  }

  /** Decisions that only note what they hear; a first shot at once if so told. */
  private final class RecordingPolicy implements RoutingPolicy {
    @Override
    public void endpointsReplaced(long now, List<Endpoint> hosts, boolean remembered) {}

    @Override
    public void endpointsUpdated(long now, List<Endpoint> changes) {
      recorded.add("changed " + changes.size());
    }

    @Override
    public void endpointRefreshFailed(long now) {}

    @Override
    public void requestReceived(long now, Request access) {
      requestDeadline = access.deadline();
      actions.send(access.id(), A, 100 * NANOS_PER_MILLI, startWithinNanos);
    }

    @Override
    public void attemptFinished(long now, AttemptResult answer) {
      recorded.add(
          answer.attemptNumber()
              + " "
              + answer.outcome()
              + (answer.requestFinished() ? " over" : "")
              + " after "
              + answer.durationNanos() / NANOS_PER_MILLI);
      onAttemptFinished.run();
    }

    @Override
    public void clientDisconnected(long now, RequestId access) {
      recorded.add("left " + access);
    }

    @Override
    public void shuttingDown(long now, long at) {
      recorded.add("closing " + at / NANOS_PER_MILLI);
    }

    @Override
    public void probeFinished(long now, HostId host, boolean answered, LoadReport report) {
      recorded.add("probed " + answered);
    }

    @Override
    public void timerFired(long now) {
      recorded.add("woken " + now / NANOS_PER_MILLI);
    }
  }

  /** A statement whose message is as long as the time in it. */
  private final class FakeStatement implements Statement {
    @Override
    public Request toRequest(long now, long cameAt, long last) {
      return new Request(
          X,
          TestMessages.REQUEST_CLASSES.get(0),
          null,
          new GroupId(1),
          Math.min(last, cameAt + 400 * NANOS_PER_MILLI),
          0);
    }

    @Override
    public ByteBuf toMessage(long millis) {
      return TestMessages.buffer(new byte[(int) millis]);
    }

    @Override
    public void release() {
      recorded.add("released");
    }
  }

  private final class FakeResponder implements ClientResponder {
    @Override
    public void sendResult(ByteBuf row) {
      row.release();
      recorded.add("fulfilled");
    }

    @Override
    public void sendRejection(long advice) {
      recorded.add("turned back " + advice / NANOS_PER_MILLI);
    }

    @Override
    public void sendFailure() {
      recorded.add("given up");
    }
  }

  private long time;
  private Runnable timer;
  private long timerAt;
  private long requestDeadline;
  private final List<String> recorded = new ArrayList<>();
  private final List<FakeConnection> connections = new ArrayList<>();
  private final List<Runnable> turnEnds = new ArrayList<>();
  private final Counters counters = new Counters();
  private final EventLoopClock clock = new EventLoopClock(() -> time, turnEnds::add);
  private final TimerQueue timers =
      new TimerQueue(
          clock,
          (delay, task) -> {
            timer = task;
            timerAt = time + delay;
          },
          counters);
  private Runnable onAttemptFinished = () -> {};
  private long startWithinNanos = 100 * NANOS_PER_MILLI;
  private PolicyActions actions;
  private RequestDispatcher dispatcher;

  @BeforeEach
  void start() {
    start(true);
  }

  private void start(boolean goneBinds) {
    connections.clear();
    dispatcher =
        new RequestDispatcher(
            clock,
            timers,
            counters,
            new ConnectionSettings(
                new DescriptorBudget(5),
                new ConnectBackoff(new SplittableRandom(1), true),
                250 * NANOS_PER_MILLI,
                30_000 * NANOS_PER_MILLI,
                goneBinds,
                2000 * NANOS_PER_MILLI),
            (to, events) -> {
              connections.add(new FakeConnection(events));
              return connections.get(connections.size() - 1);
            },
            () -> TestMessages.buffer(new byte[0]),
            () -> recorded.add("subscribed"),
            recorded::add,
            each -> {
              actions = each;
              return new RecordingPolicy();
            });
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    scheduleTurns();
  }

  /**
   * Turns come while nothing happens, as they do in the program: without them all rest would be a
   * pause.
   */
  private void scheduleTurns() {
    timers.schedule(clock.now() + EventLoopClock.MAX_TURN_INTERVAL_NANOS, this::scheduleTurns);
  }

  @AfterEach
  void released() {
    TestMessages.assertAllReleased();
    assertEquals(0, counters.get(Counter.INVARIANTS_VIOLATED));
  }

  private static EndpointAddress endpoint(String id, int port, Endpoint.State state) {
    return new EndpointAddress(
        new Endpoint(new HostId(id), new GroupId(1), new ZoneId(""), 1, 0, false, state),
        new InetSocketAddress("127.0.0.1", port));
  }

  private void advanceTo(long millis) {
    for (endTurn(); timerAt <= millis * NANOS_PER_MILLI && timer != null; endTurn()) {
      time = Math.max(time, timerAt); // a pause of the test may have passed it
      Runnable task = timer;
      timer = null;
      task.run();
    }
    time = millis * NANOS_PER_MILLI;
  }

  private void endTurn() {
    turnEnds.forEach(Runnable::run);
    turnEnds.clear();
  }

  private FakeConnection sendRequest() {
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    FakeConnection connection = connections.get(connections.size() - 1);
    if (connection.sent.isEmpty()) {
      connection.listener.connected();
    }
    return connection;
  }

  private void expect(String... lines) {
    assertEquals(List.of(lines), recorded);
    recorded.clear();
  }

  @Test
  void fulfilledThenTold() {
    FakeConnection connection = sendRequest();
    assertEquals(List.of("d=100"), connection.sent);
    advanceTo(20);
    connection.respond(AttemptOutcome.SUCCESS);
    expect("fulfilled", "0 SUCCESS over after 20", "released");
    advanceTo(30);
    sendRequest();
    assertEquals(1, connections.size(), "the connection is used again");
    assertEquals(1, counters.get(Counter.CONNECTIONS_REUSED));
    connection.respond(AttemptOutcome.SUCCESS);
  }

  /** Never written is told from written: only the first is sure not to have run. */
  @Test
  void breaks() {
    onAttemptFinished = () -> actions.fail(X);
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    connections.get(0).listener.connectionLost(false);
    expect("0 CONNECT_FAILED after 0", "released", "given up");
    FakeConnection halfWritten = sendRequest();
    halfWritten.written = false;
    halfWritten.listener.connectionLost(true);
    expect("0 NOT_SENT after 0", "released", "given up");
    sendRequest().listener.connectionLost(true);
    expect("0 CONNECTION_LOST after 0", "released", "given up");
  }

  @Test
  void neverComesUp() {
    onAttemptFinished = () -> actions.reject(X, 7 * NANOS_PER_MILLI);
    time = 0;
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    advanceTo(99);
    expect();
    advanceTo(100);
    expect("0 NOT_SENT after 100", "released", "turned back 7");
    advanceTo(250);
    assertEquals(false, connections.get(0).open);
    expect();
  }

  @Test
  void timedOutClosesTheConnection() {
    onAttemptFinished = () -> actions.fail(X);
    FakeConnection connection = sendRequest();
    advanceTo(100);
    assertEquals(false, connection.open);
    expect("0 TIMED_OUT after 100", "released", "given up");
  }

  /**
   * The end of a withdrawn shot comes once the decisions are back; its late answer reaches nobody.
   */
  @Test
  void withdrawn() {
    FakeConnection connection = sendRequest();
    actions.cancel(X, 0);
    actions.cancel(X, 0);
    assertEquals(false, connection.open);
    expect("0 CANCELLED after 0");
    actions.fail(X);
    actions.fail(X);
    expect("released", "given up");
  }

  @Test
  void leftWhileAShotIsOut() {
    FakeConnection connection = sendRequest();
    dispatcher.clientDisconnected(X);
    dispatcher.clientDisconnected(X);
    expect("left x");
    advanceTo(30);
    connection.respond(AttemptOutcome.SUCCESS);
    expect("0 SUCCESS over after 30", "released");
  }

  @Test
  void connectionsHaveALimit() {
    onAttemptFinished = () -> actions.reject(X, 0);
    actions.probe(A);
    actions.probe(A);
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    expect("0 NOT_SENT after 0", "released", "turned back 0");
    assertEquals(2, connections.size());
    connections.get(0).listener.connected();
    connections.get(0).respond(AttemptOutcome.SUCCESS);
    expect("probed true");
    dispatcher.endpointsUpdated(List.of(endpoint("b", 2, Endpoint.State.READY)), List.of());
    recorded.clear();
    actions.probe(new HostId("b"));
    assertEquals(3, connections.size(), "an idle connection makes room");
    assertEquals(false, connections.get(0).open);
  }

  @Test
  void probesEndInTime() {
    actions.probe(A);
    connections.get(0).listener.connected();
    assertEquals(List.of("probe"), connections.get(0).sent);
    advanceTo(250);
    expect("probed false");
    assertEquals(false, connections.get(0).open);
  }

  @Test
  void idleConnectionsAreClosedWellBeforeTheirLimit() {
    FakeConnection connection = sendRequest();
    connection.respond(AttemptOutcome.SUCCESS);
    advanceTo(14_000);
    assertEquals(true, connection.open);
    advanceTo(17_000);
    assertEquals(false, connection.open);
  }

  /**
   * What a host writes unasked right behind an answer has to be seen before the connection is used
   * again.
   */
  @Test
  void aConnectionRestsBeforeItsNextUse() {
    sendRequest().respond(AttemptOutcome.SUCCESS);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(2, connections.size());
    advanceTo(5);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(2, connections.size());
  }

  /**
   * Where one that rested breaks at its next use, those that rested as long are not used any more,
   * for a while.
   */
  @Test
  void staleConnectionsAreNotKept() {
    onAttemptFinished = () -> actions.fail(X);
    FakeConnection first = sendRequest();
    first.respond(AttemptOutcome.SUCCESS);
    advanceTo(400);
    sendRequest().listener.connectionLost(true);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    advanceTo(550);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(2, connections.size(), "150 ms are safe still");
    advanceTo(800);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(3, connections.size(), "250 ms are not");
  }

  @Test
  void anOldAddressIsNotUsedAgain() {
    FakeConnection idle = sendRequest();
    idle.respond(AttemptOutcome.SUCCESS);
    advanceTo(10);
    FakeConnection busy = sendRequest();
    assertEquals(idle, busy);
    dispatcher.endpointsUpdated(List.of(endpoint("a", 9, Endpoint.State.READY)), List.of());
    busy.respond(AttemptOutcome.SUCCESS);
    assertEquals(false, busy.open);
  }

  @Test
  void drainingHostsLoseTheirIdleConnections() {
    FakeConnection connection = sendRequest();
    connection.respond(AttemptOutcome.SUCCESS);
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.DRAINING)), List.of());
    assertEquals(false, connection.open);
  }

  /**
   * Chosen before the news and not begun: nothing of it is written, and the decisions choose again.
   */
  @Test
  void aHostLeavesWhileItsConnectionComesUp() {
    for (Endpoint.State state : List.of(Endpoint.State.DRAINING, Endpoint.State.REMOVED)) {
      onAttemptFinished = () -> actions.reject(X, 0);
      dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
      recorded.clear();
      dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
      FakeConnection connection = connections.get(connections.size() - 1);
      actions.probe(A);
      FakeConnection probe = connections.get(connections.size() - 1);
      advanceTo(time / NANOS_PER_MILLI + 50);
      dispatcher.endpointsUpdated(List.of(endpoint("a", 1, state)), List.of());
      expect("changed 1", "0 NOT_SENT after 50", "released", "turned back 0", "probed false");
      assertEquals(List.of(false, false), List.of(connection.open, probe.open));
      assertEquals(List.of(), connection.sent);
    }
    assertEquals(4, counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /**
   * A further attempt of a labelled access may begin inside its window alone: the connection came
   * up too late.
   */
  @Test
  void anAttemptWhoseWindowEndsWhileItsConnectionComesUp() {
    onAttemptFinished = () -> actions.fail(X);
    startWithinNanos = 40 * NANOS_PER_MILLI;
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    advanceTo(50);
    connections.get(0).listener.connected();
    expect("0 NOT_SENT after 50", "released", "given up");
    assertEquals(List.of(), connections.get(0).sent);
    advanceTo(60);
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    assertEquals(1, connections.size(), "the connection is used by the next");
    assertEquals(List.of("d=100"), connections.get(0).sent);
    connections.get(0).respond(AttemptOutcome.SUCCESS);
  }

  /**
   * Its client left while its connection came up, and hosts cannot be told to stop: nothing is
   * written.
   */
  @Test
  void aClientLeavesWhileItsConnectionComesUp() {
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    dispatcher.clientDisconnected(X);
    expect("left x", "released", "0 NOT_SENT over after 0");
    connections.get(0).listener.connected();
    assertEquals(List.of(), connections.get(0).sent);
    assertEquals(1, counters.get(Counter.ATTEMPTS_WITHHELD));
  }

  /** A whole list without it, and one in which its entry is bad but for its state, say the same. */
  @Test
  void aHostLeavesByAWholeList() {
    onAttemptFinished = () -> actions.reject(X, 0);
    for (int i = 0; i < 2; i++) {
      dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
      dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
      dispatcher.endpointsReplaced(
          List.of(),
          i == 0 ? List.of() : List.of(new PartialEndpoint(A, Endpoint.State.DRAINING)),
          false);
      expect("0 NOT_SENT after 0", "released", "turned back 0");
    }
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    dispatcher.endpointsReplaced(List.of(), List.of(new PartialEndpoint(A, null)), false);
    assertEquals(
        1,
        dispatcher.endpointCount(),
        "an entry of which only the id can be read says that it is there");
    sendRequest().respond(AttemptOutcome.SUCCESS);
    expect("fulfilled", "0 SUCCESS over after 0", "released");
  }

  /**
   * Where gone does not bind it may still be sent to; draining binds until it is listed in service
   * again.
   */
  @Test
  void goneThatDoesNotBind() {
    start(false);
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.REMOVED)), List.of());
    dispatcher.endpointsReplaced(List.of(), false);
    recorded.clear();
    sendRequest().respond(AttemptOutcome.SUCCESS);
    expect("fulfilled", "0 SUCCESS over after 0", "released");
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.DRAINING)), List.of());
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.REMOVED)), List.of());
    actions.probe(A);
    expect("changed 1", "changed 1", "probed false");
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    expect("fulfilled", "0 SUCCESS over after 0", "released");
  }

  /**
   * The process stood still for longer than a quarter of the grace: the turn after it reads clients
   * before discovery, so what it chooses is written in the next, unless its host leaves meanwhile.
   */
  @Test
  void afterAPauseTheListComesFirst() {
    onAttemptFinished = () -> actions.reject(X, 0);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    advanceTo(100);
    clock.now();
    endTurn();
    time += 600 * NANOS_PER_MILLI;
    recorded.clear();
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.DRAINING)), List.of());
    expect("changed 1", "0 NOT_SENT after 0", "released", "turned back 0");
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    advanceTo(time / NANOS_PER_MILLI + 100);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    advanceTo(time / NANOS_PER_MILLI + 100);
    clock.now();
    endTurn();
    time += 600 * NANOS_PER_MILLI;
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    assertEquals(1, connections.get(1).sent.size(), "not yet");
    advanceTo(time / NANOS_PER_MILLI + 2);
    assertEquals(2, connections.get(1).sent.size(), "its host is still there");
    connections.get(1).respond(AttemptOutcome.SUCCESS);
    assertEquals(2, counters.get(Counter.ATTEMPTS_DEFERRED));
  }

  /**
   * The wait that the pause fell into ended without a look at the sockets: the turn after it is the
   * first that reads.
   */
  @Test
  void theTurnAfterTheOneAfterAPause() {
    onAttemptFinished = () -> actions.reject(X, 0);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    advanceTo(100);
    for (long pause : new long[] {600, 10}) {
      clock.now();
      endTurn();
      time += pause * NANOS_PER_MILLI;
    }
    recorded.clear();
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.DRAINING)), List.of());
    expect("changed 1", "0 NOT_SENT after 0", "released", "turned back 0");
  }

  /** The turn itself takes that long, as a collection or a burst of accesses in it does. */
  @Test
  void aTurnThatLastsLong() {
    onAttemptFinished = () -> actions.reject(X, 0);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    advanceTo(100);
    clock.now();
    time += 600 * NANOS_PER_MILLI; // within the turn: its clock has been read
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
    assertEquals(1, connections.get(0).sent.size(), "not yet");
    actions.cancel(X, 0);
    advanceTo(time / NANOS_PER_MILLI + 10);
    assertEquals(1, connections.get(0).sent.size(), "nobody waits for it any more");
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(1, connections.size(), "its connection is idle again");
  }

  /**
   * Of hundreds of hosts that come and go only the living are kept; one may come back under its id.
   */
  @Test
  void goneHostsAreForgotten() {
    FakeConnection connection = sendRequest();
    for (int i = 0; i < 300; i++) {
      dispatcher.endpointsUpdated(
          List.of(endpoint("h" + i, i + 1, Endpoint.State.READY)), List.of());
      dispatcher.endpointsUpdated(
          List.of(endpoint("h" + i, i + 1, Endpoint.State.REMOVED)), List.of());
    }
    assertEquals(1, dispatcher.endpointCount());
    dispatcher.endpointsUpdated(List.of(endpoint("a", 1, Endpoint.State.REMOVED)), List.of());
    connection.respond(AttemptOutcome.SUCCESS);
    assertEquals(false, connection.open, "a forgotten host's connection is not kept");
    dispatcher.endpointsReplaced(List.of(endpoint("a", 1, Endpoint.State.READY)), false);
    sendRequest().respond(AttemptOutcome.SUCCESS);
    assertEquals(2, connections.size());
  }

  @Test
  void goneHostsNeverHeardOfSayNothing() {
    dispatcher.endpointsUpdated(List.of(endpoint("z", 1, Endpoint.State.REMOVED)), List.of());
    expect("changed 0");
  }

  /**
   * What came while the process stood still has waited unread: its time counts from before the
   * pause.
   */
  @Test
  void aPauseCountsAsWaiting() {
    advanceTo(1000);
    clock.now();
    assertEquals(1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1030), "a rest is no pause");
    assertEquals(1430 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1330));
    assertEquals(
        1430 * NANOS_PER_MILLI,
        deadlineOfRequestReadAt(1335),
        "a connection that was accepted only after the pause");
    assertEquals(1760 * NANOS_PER_MILLI, deadlineOfRequestReadAt(1360));
  }

  /** When the access is due that is read in a new turn at that time. */
  private long deadlineOfRequestReadAt(long millis) {
    endTurn();
    time = millis * NANOS_PER_MILLI;
    sendRequest().respond(AttemptOutcome.SUCCESS);
    return requestDeadline;
  }

  @Test
  void whatComesBeforeAnEndIsDueByThen() {
    dispatcher.shuttingDown(300 * NANOS_PER_MILLI);
    assertEquals(300 * NANOS_PER_MILLI, deadlineOfRequestReadAt(100));
  }

  /**
   * What one call or one due task throws ends that alone; the access that it was about has its
   * answer.
   */
  @Test
  void exceptionsEndOneThing() {
    onAttemptFinished =
        () -> {
          throw new IllegalStateException("on purpose");
        };
    sendRequest().respond(AttemptOutcome.ERROR);
    expect("0 ERROR after 0", "given up", "released");
    timers.schedule(50 * NANOS_PER_MILLI, onAttemptFinished);
    actions.wakeAt(50 * NANOS_PER_MILLI);
    advanceTo(60);
    expect("woken 50");
    assertEquals(2, counters.get(Counter.EXCEPTIONS_CAUGHT));
  }

  @Test
  void oneWakeATime() {
    actions.wakeAt(50 * NANOS_PER_MILLI);
    actions.wakeAt(20 * NANOS_PER_MILLI);
    advanceTo(60);
    expect("woken 20");
  }

  @Test
  void whatMustHoldIsAsserted() {
    assertThrows(AssertionError.class, () -> counters.checkInvariant(false, "on purpose"));
    counters.checkInvariant(true, "");
  }
}
