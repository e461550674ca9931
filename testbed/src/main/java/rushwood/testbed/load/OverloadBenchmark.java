package rushwood.testbed.load;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.HostRole;
import rushwood.api.LoadReport;
import rushwood.api.LogLevel;
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.overload.RepeatSketch;
import rushwood.overload.RetryAfterSchedule;
import rushwood.policy.DefaultRoutingPolicy;
import rushwood.testbed.model.TestbedRequestClass;

/**
 * Measures what overload control costs per request, in nanoseconds: the routing policy with
 * overload control, the policy alone, and two parts of overload control by themselves. Run by JMH's
 * main class.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@SuppressWarnings("NullAway.Init") // JMH calls setUp before any benchmark
public class OverloadBenchmark {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final HostId HOST = new HostId("a");
  private static final GroupId GROUP = new GroupId(1);

  // There are fewer distinct fingerprints than cells, as in a router.
  private static final int SKETCH_CELLS = 1 << 14;
  private static final long FINGERPRINT_MASK = 4095;
  private static final double EXPECTED_RATE = 1000;

  private final RepeatSketch repeatSketch = new RepeatSketch(SKETCH_CELLS, 1000 * NANOS_PER_MILLI);
  private final RetryAfterSchedule retryAfterSchedule =
      new RetryAfterSchedule(500 * NANOS_PER_MILLI);
  private RequestClass requestClass;
  private RoutingPolicy policyAlone;
  private RoutingPolicy policyWithOverloadControl;
  private long now = 1_000_000 * NANOS_PER_MILLI;
  private long nextRequestNumber;

  /**
   * Ignores all actions. The router's tests have an equivalent class, which cannot be used here
   * because the router's jar contains no test code.
   */
  private static final class NoOpActions implements PolicyActions {
    @Override
    public void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos) {}

    @Override
    public void cancel(RequestId request, int attemptNumber) {}

    @Override
    public void reject(RequestId request, long retryAfterNanos) {}

    @Override
    public void fail(RequestId request) {}

    @Override
    public void checkHealth(HostId host) {}

    @Override
    public void wakeAt(long time) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(LogLevel level, String line) {}
  }

  /** Creates both policies with the settings of the testbed's routers and one ready host. */
  @Setup
  public void setUp() throws InvalidConfigException {
    RoutingSettings settings = RouterConfig.decodeSettings(RouterSettings.forCluster(1).toString());
    requestClass =
        RequestClass.findByName(
                settings.requestClasses(), TestbedRequestClass.EVENTUAL_READ.wireName())
            .orElseThrow();
    policyAlone =
        new DefaultRoutingPolicy(
            settings,
            new SplittableRandom(1),
            new NoOpActions(),
            OverloadSignals.withoutOverloadControl(settings));
    policyWithOverloadControl =
        new OverloadController(
            settings,
            OverloadSettings.DEFAULT,
            new ConnectBackoff(new SplittableRandom(1), true),
            () -> 0,
            new NoOpActions(),
            (signals, actions) ->
                new DefaultRoutingPolicy(settings, new SplittableRandom(1), actions, signals));
    for (RoutingPolicy policy : List.of(policyAlone, policyWithOverloadControl)) {
      policy.endpointsReplaced(
          now,
          List.of(new Endpoint(HOST, GROUP, new ZoneId(""), 1, 0, true, Endpoint.State.READY)),
          true);
    }
    retryAfterSchedule.setExpectedRate(EXPECTED_RATE);
  }

  private void handleRequest(RoutingPolicy policy) {
    now += NANOS_PER_MILLI;
    RequestId id = new RequestId(Long.toString(nextRequestNumber++));
    policy.requestReceived(
        now,
        new Request(
            id, requestClass, null, GROUP, now + 1000 * NANOS_PER_MILLI, 0, nextRequestNumber, 0));
    policy.attemptFinished(
        now,
        new AttemptResult(
            id,
            0,
            HOST,
            AttemptOutcome.SUCCESS,
            NANOS_PER_MILLI,
            true,
            HostRole.UNKNOWN,
            AttemptResult.NO_POSITION,
            LoadReport.NONE));
    policy.timerFired(now);
  }

  /** Handles a request with the routing policy alone. */
  @Benchmark
  public void requestThroughPolicyAlone() {
    handleRequest(policyAlone);
  }

  /** Handles a request with overload control and the routing policy. */
  @Benchmark
  public void requestThroughOverloadControl() {
    handleRequest(policyWithOverloadControl);
  }

  /** Adds a fingerprint to the sketch and looks up the count of the next one. */
  @Benchmark
  public int countRepeat() {
    now += NANOS_PER_MILLI / 10;
    repeatSketch.add(nextRequestNumber++ & FINGERPRINT_MASK, now);
    return repeatSketch.count(nextRequestNumber & FINGERPRINT_MASK, now);
  }

  /** Reserves the return of a rejected request. */
  @Benchmark
  public long reserveRetryAfter() {
    now += NANOS_PER_MILLI;
    return retryAfterSchedule.reserve(now, 1, true, 0, 500 * NANOS_PER_MILLI).waitNanos();
  }
}
