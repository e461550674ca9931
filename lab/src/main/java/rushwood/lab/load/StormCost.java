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
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.Answer;
import rushwood.api.Crowd;
import rushwood.api.Decisions;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.LoadReport;
import rushwood.api.Outlet;
import rushwood.api.Product;
import rushwood.api.Settings;
import rushwood.api.ShotEnd;
import rushwood.api.ZoneId;
import rushwood.decision.Choice;
import rushwood.storm.Calendar;
import rushwood.storm.Dials;
import rushwood.storm.Repeats;
import rushwood.storm.Storm;
import rushwood.storm.StormSettings;

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
  private static final Product ANY =
      new Product(
          "any",
          0,
          400 * MS,
          Product.Effect.REDOABLE,
          Product.Scope.EVERYWHERE,
          0,
          Product.Need.ANY,
          0,
          0);
  private static final Settings SETTINGS =
      new Settings(
          1,
          List.of(ANY),
          false,
          Settings.Behind.TURNS_AWAY,
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

  private final Repeats repeats = new Repeats(1 << 14, 1000 * MS);
  private final Calendar calendar = new Calendar(500 * MS);
  private Decisions alone;
  private Decisions behind;
  private long now = 1_000_000 * MS;
  private long number;

  /** Hears everything and does nothing. */
  private static final class Nothing implements Outlet {
    @Override
    public void send(AccessId access, HostId host, long timeOut, long beginWithin) {}

    @Override
    public void withdraw(AccessId access, int shot) {}

    @Override
    public void turnBack(AccessId access, long advice) {}

    @Override
    public void giveUp(AccessId access) {}

    @Override
    public void probe(HostId host) {}

    @Override
    public void wake(long at) {}

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {}
  }

  @Setup
  public void start() {
    alone = new Choice(SETTINGS, new SplittableRandom(1), new Nothing(), Crowd.plain(SETTINGS));
    behind =
        new Storm(
            SETTINGS,
            StormSettings.DEFAULT,
            new Dials(new SplittableRandom(1), true),
            new Nothing(),
            (crowd, outlet) -> new Choice(SETTINGS, new SplittableRandom(1), outlet, crowd));
    for (Decisions each : List.of(alone, behind)) {
      each.listed(
          now,
          List.of(
              new ListedHost(HOST, GROUP, new ZoneId(""), 1, 0, true, ListedHost.State.IN_SERVICE)),
          true);
    }
    calendar.expect(1000);
  }

  private void access(Decisions decisions) {
    now += MS;
    AccessId id = new AccessId(Long.toString(number++));
    decisions.arrived(now, new Access(id, ANY, null, GROUP, now + 1000 * MS, 0, number, 0));
    decisions.answered(
        now, new Answer(id, 0, HOST, ShotEnd.FULFILLED, MS, true, null, -1, LoadReport.NONE));
    decisions.woken(now);
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
    return calendar.book(now, 1, true, 0, 500 * MS).away();
  }
}
