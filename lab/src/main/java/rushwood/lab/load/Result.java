package rushwood.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What came of a run: figures, and time lines in steps of a tenth of a second. */
public final class Result {
  /** A line over time; each step holds a sum. */
  public static final class Line {
    private final List<Double> steps = new ArrayList<>();

    void add(int step, double value) {
      while (steps.size() <= step) {
        steps.add(0.0);
      }
      steps.set(step, steps.get(step) + value);
    }

    public List<Double> steps() {
      return steps;
    }
  }

  public static final double STEP = 0.1; // seconds

  private final String name;
  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private final Histogram done =
      new Histogram(120_000_000L, 3); // microseconds from a client's start to its end
  private final Map<String, Long> counters = new LinkedHashMap<>();

  public Result(String name) {
    this.name = name;
  }

  public String name() {
    return name;
  }

  public Map<String, Double> figures() {
    return figures;
  }

  public Map<String, Line> lines() {
    return lines;
  }

  public Map<String, Long> counters() {
    return counters;
  }

  public void figure(String what, double value) {
    figures.put(what, value);
  }

  /** Counts something at a time, in nanoseconds since the start. */
  public void count(String line, long at, double value) {
    lines
        .computeIfAbsent(line, each -> new Line())
        .add((int) Math.max(0, at / (STEP * 1e9)), value);
  }

  /** A client got what it wanted, so long after it began. */
  public void done(long nanos) {
    done.recordValue(Math.min(done.getHighestTrackableValue(), Math.max(0, nanos / 1000)));
  }

  /** Seconds after which that share of those that were fulfilled had their answer. */
  public double doneWithin(double percent) {
    return done.getTotalCount() == 0 ? Double.NaN : done.getValueAtPercentile(percent) / 1e6;
  }

  /** The counters of a router's last log line. */
  public void readCounters(String log) {
    int at = log.lastIndexOf("INFO counters ");
    if (at < 0) {
      return;
    }
    for (String pair : log.substring(at + 14).strip().split("\\s+")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        counters.merge(
            pair.substring(0, equals), Long.parseLong(pair.substring(equals + 1)), Long::sum);
      }
    }
  }
}
