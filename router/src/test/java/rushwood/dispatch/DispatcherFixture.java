package rushwood.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rushwood.dispatch.FakeEventLoop.NANOS_PER_MILLI;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
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

/**
 * Sets up a dispatcher with fake connections, a fake event loop and a recording policy. The
 * endpoint list contains one ready host, {@link #HOST}. The policy starts an attempt on it for each
 * request. Events delivered to the policy and responses to the client are recorded as lines of
 * text.
 */
final class DispatcherFixture implements BeforeEachCallback, AfterEachCallback {
  static final HostId HOST = new HostId("a");
  static final RequestId REQUEST = new RequestId("x");

  private static final long ATTEMPT_TIMEOUT_NANOS = 100 * NANOS_PER_MILLI;
  private static final long REQUEST_TIMEOUT_NANOS = 400 * NANOS_PER_MILLI;

  /** Of these, the descriptor budget allows two for connections to hosts. */
  private static final int MAX_DESCRIPTORS = 5;

  final FakeEventLoop loop = new FakeEventLoop();
  final EventLoopClock clock = loop.clock;
  final TimerQueue timers = loop.timers;
  final Counters counters = loop.counters;
  final List<String> recorded = new ArrayList<>();
  final List<FakeConnection> connections = new ArrayList<>();
  RequestDispatcher dispatcher;
  PolicyActions actions;

  /** Run by the policy when an attempt has finished. */
  Runnable onAttemptFinished = () -> {};

  /** The time within which the policy's attempts may be written. */
  long startWithinNanos = ATTEMPT_TIMEOUT_NANOS;

  /** The deadline of the request that the policy received last. */
  long requestDeadline;

  /** A fake connection to a host, which the test controls. */
  static final class FakeConnection implements BackendConnection {
    final Listener listener;

    /**
     * The messages sent: "health check", or "d=" and the timeout of a statement in milliseconds.
     */
    final List<String> sent = new ArrayList<>();

    boolean open = true;
    boolean written = true;

    /** Whether input has arrived on the socket that belongs to no exchange and was not read. */
    boolean hasUnreadInput;

    private FakeConnection(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(ByteBuf statement, boolean isHealthCheck) {
      sent.add(isHealthCheck ? "health check" : "d=" + statement.readableBytes());
      statement.release();
    }

    @Override
    public boolean isStatementWritten() {
      return written;
    }

    @Override
    public boolean isReusable() {
      if (open && hasUnreadInput) {
        open = false;
        listener.connectionLost(true);
      }
      return open;
    }

    @Override
    public void close() {
      open = false;
    }

    /** Simulates a response of the host after which the connection is reusable. */
    void respond(AttemptOutcome outcome) {
      ByteBuf row = outcome == AttemptOutcome.SUCCESS ? TestMessages.buffer(new byte[] {1}) : null;
      listener.responseReceived(
          new BackendResponse(
              outcome, row, HostRole.UNKNOWN, AttemptResult.NO_POSITION, LoadReport.NONE),
          true);
    }
  }

  private final class FakeConnector implements BackendConnection.Connector {
    @Override
    public BackendConnection connect(
        InetSocketAddress address, BackendConnection.Listener listener) {
      FakeConnection connection = new FakeConnection(listener);
      connections.add(connection);
      return connection;
    }

    @Override
    public ByteBuf healthCheckStatement() {
      return TestMessages.buffer(new byte[0]);
    }
  }

  private final class RecordingPolicy implements RoutingPolicy {
    @Override
    public void endpointsReplaced(long now, List<Endpoint> endpoints, boolean fromCache) {}

    @Override
    public void endpointsUpdated(long now, List<Endpoint> changes) {
      recorded.add("updated " + changes.size());
    }

    @Override
    public void endpointRefreshFailed(long now) {}

    @Override
    public void requestReceived(long now, Request request) {
      requestDeadline = request.deadline();
      actions.send(request.id(), HOST, ATTEMPT_TIMEOUT_NANOS, startWithinNanos);
    }

    @Override
    public void attemptFinished(long now, AttemptResult result) {
      String answered = result.requestFinished() ? " answered" : "";
      long millis = result.durationNanos() / NANOS_PER_MILLI;
      recorded.add(result.attemptNumber() + " " + result.outcome() + answered + " after " + millis);
      onAttemptFinished.run();
    }

    @Override
    public void clientDisconnected(long now, RequestId request) {
      recorded.add("disconnected " + request);
    }

    @Override
    public void shuttingDown(long now, long lastAnswerTime) {
      recorded.add("shutting down by " + lastAnswerTime / NANOS_PER_MILLI);
    }

    @Override
    public void healthCheckFinished(long now, HostId host, boolean answered, LoadReport report) {
      recorded.add("checked " + answered);
    }

    @Override
    public void timerFired(long now) {
      recorded.add("timer " + now / NANOS_PER_MILLI);
    }
  }

  /** A statement whose message to a host has as many bytes as its timeout has milliseconds. */
  private final class FakeStatement implements Statement {
    @Override
    public Request toRequest(long now, long earliestArrival, long latestDeadline) {
      long deadline = Math.min(latestDeadline, earliestArrival + REQUEST_TIMEOUT_NANOS);
      return new Request(
          REQUEST, TestMessages.REQUEST_CLASSES.get(0), null, new GroupId(1), deadline, 0);
    }

    @Override
    public ByteBuf toMessage(long timeoutMillis) {
      return TestMessages.buffer(new byte[(int) timeoutMillis]);
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
      recorded.add("result");
    }

    @Override
    public void sendRejection(long retryAfterNanos) {
      recorded.add("rejection " + retryAfterNanos / NANOS_PER_MILLI);
    }

    @Override
    public void sendFailure() {
      recorded.add("failure");
    }
  }

  @Override
  public void beforeEach(ExtensionContext test) {
    start(true);
  }

  void start(boolean isRemovalBinding) {
    connections.clear();
    ConnectionSettings settings =
        new ConnectionSettings(
            new DescriptorBudget(MAX_DESCRIPTORS),
            new ConnectBackoff(new SplittableRandom(1), true),
            250 * NANOS_PER_MILLI,
            30_000 * NANOS_PER_MILLI,
            isRemovalBinding,
            2000 * NANOS_PER_MILLI);
    dispatcher =
        new RequestDispatcher(
            clock,
            timers,
            counters,
            settings,
            new FakeConnector(),
            (level, line) -> recorded.add(line),
            offered -> {
              actions = offered;
              return new RecordingPolicy();
            });
    replaceEndpoints(host(Endpoint.State.READY));
    scheduleTurns();
  }

  /**
   * Schedules turns at the interval used by a router, so that idleness is not taken for a pause.
   */
  private void scheduleTurns() {
    timers.schedule(clock.now() + EventLoopClock.MAX_TURN_INTERVAL_NANOS, this::scheduleTurns);
  }

  /** Checks that all buffers were released and no invariant was violated. */
  @Override
  public void afterEach(ExtensionContext test) {
    TestMessages.assertAllReleased();
    assertEquals(0, counters.get(Counter.INVARIANTS_VIOLATED));
  }

  static EndpointAddress endpoint(String id, int port, Endpoint.State state) {
    return new EndpointAddress(
        new Endpoint(new HostId(id), new GroupId(1), new ZoneId(""), 1, 0, false, state),
        new InetSocketAddress("127.0.0.1", port));
  }

  /** Returns {@link #HOST} in the given state. */
  static EndpointAddress host(Endpoint.State state) {
    return endpoint("a", 1, state);
  }

  void replaceEndpoints(EndpointAddress... listed) {
    dispatcher.endpointsReplaced(List.of(listed), false);
  }

  void updateEndpoints(EndpointAddress... updates) {
    dispatcher.endpointsUpdated(List.of(updates), List.of());
  }

  /** Simulates a client that sends {@link #REQUEST}. */
  void receiveRequest() {
    dispatcher.requestReceived(new FakeStatement(), new FakeResponder());
  }

  /**
   * Simulates a client that sends {@link #REQUEST}. If a connection is opened for it, the
   * connection is established.
   */
  FakeConnection receiveRequestAndConnect() {
    receiveRequest();
    FakeConnection connection = latestConnection();
    if (connection.sent.isEmpty()) {
      connection.listener.connected();
    }
    return connection;
  }

  /** Simulates a client that sends {@link #REQUEST} and a host that answers with a row. */
  FakeConnection serveRequest() {
    FakeConnection connection = receiveRequestAndConnect();
    connection.respond(AttemptOutcome.SUCCESS);
    return connection;
  }

  FakeConnection latestConnection() {
    return connections.get(connections.size() - 1);
  }

  /** Asserts which lines were recorded since the last call. */
  void expectRecorded(String... lines) {
    assertEquals(List.of(lines), recorded);
    recorded.clear();
  }
}
