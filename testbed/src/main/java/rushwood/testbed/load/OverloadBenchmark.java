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
import rushwood.api.OverloadSignals;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.api.RoutingSettings;
import rushwood.api.ZoneId;
import rushwood.overload.ConnectBackoff;
import rushwood.overload.OverloadController;
import rushwood.overload.OverloadSettings;
import rushwood.overload.RepeatSketch;
import rushwood.overload.RetryAfterSchedule;
import rushwood.policy.DefaultRoutingPolicy;

/**
 * What the storm module costs an access: the decisions behind it against the decisions alone, and
 * its parts.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class OverloadBenchmark {
  private static final long MS = 1_000_000L;
  private static final HostId ENDPOINT = new HostId("a");
  private static final GroupId GROUP = new GroupId(1);
  private static final RequestClass REQUEST_CLASS =
      new RequestClass(
          "any",
          0,
          400 * MS,
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.KeyScope.GLOBAL,
          0,
          false,
          RequestClass.Consistency.EVENTUAL,
          0,
          0);
  private static final RoutingSettings SETTINGS =
      new RoutingSettings(
          1,
          List.of(REQUEST_CLASS),
          false,
          RoutingSettings.LaggingReadBehavior.REJECTS,
          false,
          false,
          false,
          true,
          true,
          500 * MS,
          10,
          5 * MS,
          true,
          0.15,
          14_000 * MS,
          4,
          1000 * MS,
          10_000 * MS);

  private final RepeatSketch repeatSketch = new RepeatSketch(1 << 14, 1000 * MS);
  private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule(500 * MS);
  private RoutingPolicy policyAlone;
  private RoutingPolicy policyWithOverloadControl;
  private long now = 1_000_000 * MS;
  private long nextRequestNumber;

  /** Hears everything and does nothing. */
  private static final class IgnoredActions implements PolicyActions {
    @Override
    public void send(RequestId access, HostId host, long timeOut, long beginWithin) {}

    @Override
    public void cancel(RequestId access, int shot) {}

    @Override
    public void reject(RequestId access, long advice) {}

    @Override
    public void fail(RequestId access) {}

    @Override
    public void probe(HostId host) {}

    @Override
    public void wakeAt(long at) {}

    @Override
    public void subscribeToEndpoints() {}

    @Override
    public void log(String line) {}
  }

  @Setup
  public void start() {
    policyAlone =
        new DefaultRoutingPolicy(
            SETTINGS,
            new SplittableRandom(1),
            new IgnoredActions(),
            OverloadSignals.withoutOverloadControl(SETTINGS));
    policyWithOverloadControl =
        new OverloadController(
            SETTINGS,
            OverloadSettings.DEFAULT,
            new ConnectBackoff(new SplittableRandom(1), true),
            new IgnoredActions(),
            (crowd, outlet) ->
                new DefaultRoutingPolicy(SETTINGS, new SplittableRandom(1), outlet, crowd));
    for (RoutingPolicy each : List.of(policyAlone, policyWithOverloadControl)) {
      each.endpointsReplaced(
          now,
          List.of(new Endpoint(ENDPOINT, GROUP, new ZoneId(""), 1, 0, true, Endpoint.State.READY)),
          true);
    }
    retryAfterSchedule.setExpectedRate(1000);
  }

  private void handleOneRequest(RoutingPolicy decisions) {
    now += MS;
    RequestId id = new RequestId(Long.toString(nextRequestNumber++));
    decisions.requestReceived(
        now, new Request(id, REQUEST_CLASS, null, GROUP, now + 1000 * MS, 0, nextRequestNumber, 0));
    decisions.attemptFinished(
        now,
        new AttemptResult(
            id,
            0,
            ENDPOINT,
            AttemptOutcome.SUCCESS,
            MS,
            true,
            HostRole.UNKNOWN,
            -1,
            LoadReport.NONE));
    decisions.timerFired(now);
  }

  @Benchmark
  public void requestThroughPolicyAlone() {
    handleOneRequest(policyAlone);
  }

  @Benchmark
  public void requestThroughOverloadControl() {
    handleOneRequest(policyWithOverloadControl);
  }

  @Benchmark
  public int countRepeat() {
    now += MS / 10;
    repeatSketch.add(nextRequestNumber++ & 4095, now);
    return repeatSketch.count(nextRequestNumber & 4095, now);
  }

  @Benchmark
  public long reserveRetryAfter() {
    now += MS;
    return retryAfterSchedule.reserve(now, 1, true, 0, 500 * MS).waitNanos();
  }
}
