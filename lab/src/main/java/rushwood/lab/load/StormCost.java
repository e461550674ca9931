package rushwood.lab.load;

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
public class StormCost {
  private static final long MS = 1_000_000L;
  private static final HostId HOST = new HostId("a");
  private static final GroupId GROUP = new GroupId(1);
  private static final RequestClass ANY =
      new RequestClass(
          "any",
          0,
          400 * MS,
          RequestClass.Idempotency.IDEMPOTENT,
          RequestClass.KeyScope.GLOBAL,
          0,
          RequestClass.Consistency.EVENTUAL,
          0,
          0);
  private static final RoutingSettings SETTINGS =
      new RoutingSettings(
          1,
          List.of(ANY),
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

  private final RepeatSketch repeats = new RepeatSketch(1 << 14, 1000 * MS);
  private final RetryAfterSchedule calendar = new RetryAfterSchedule(500 * MS);
  private RoutingPolicy alone;
  private RoutingPolicy behind;
  private long now = 1_000_000 * MS;
  private long number;

  /** Hears everything and does nothing. */
  private static final class Nothing implements PolicyActions {
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
    alone =
        new DefaultRoutingPolicy(
            SETTINGS,
            new SplittableRandom(1),
            new Nothing(),
            OverloadSignals.withoutOverloadControl(SETTINGS));
    behind =
        new OverloadController(
            SETTINGS,
            OverloadSettings.DEFAULT,
            new ConnectBackoff(new SplittableRandom(1), true),
            new Nothing(),
            (crowd, outlet) ->
                new DefaultRoutingPolicy(SETTINGS, new SplittableRandom(1), outlet, crowd));
    for (RoutingPolicy each : List.of(alone, behind)) {
      each.endpointsReplaced(
          now,
          List.of(new Endpoint(HOST, GROUP, new ZoneId(""), 1, 0, true, Endpoint.State.READY)),
          true);
    }
    calendar.setExpectedRate(1000);
  }

  private void access(RoutingPolicy decisions) {
    now += MS;
    RequestId id = new RequestId(Long.toString(number++));
    decisions.requestReceived(
        now, new Request(id, ANY, null, GROUP, now + 1000 * MS, 0, number, 0));
    decisions.attemptFinished(
        now,
        new AttemptResult(
            id, 0, HOST, AttemptOutcome.SUCCESS, MS, true, null, -1, LoadReport.NONE));
    decisions.timerFired(now);
  }

  @Benchmark
  public void decisionsAlone() {
    access(alone);
  }

  @Benchmark
  public void behindTheModule() {
    access(behind);
  }

  @Benchmark
  public int sketch() {
    now += MS / 10;
    repeats.add(number++ & 4095, now);
    return repeats.count(number & 4095, now);
  }

  @Benchmark
  public long booking() {
    now += MS;
    return calendar.reserve(now, 1, true, 0, 500 * MS).waitNanos();
  }
}
