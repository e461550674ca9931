package rushwood.testbed.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What came of a run: figures, and time lines in steps of a tenth of a second. */
public final class ExperimentResult {
  /** A line over time; each step holds a sum. */
  public static final class TimeSeries {
    private final List<Double> values = new ArrayList<>();

    void add(int step, double value) {
      while (values.size() <= step) {
        values.add(0.0);
      }
      values.set(step, values.get(step) + value);
    }

    public List<Double> values() {
      return values;
    }
  }

  public static final double STEP_SECONDS = 0.1; // seconds

  private final String name;
  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final Map<String, TimeSeries> timeSeries = new LinkedHashMap<>();
  private final Histogram done =
      new Histogram(120_000_000L, 3); // microseconds from a client's start to its end
  private final Map<String, Long> counters = new LinkedHashMap<>();

  public ExperimentResult(String name) {
    this.name = name;
  }

  public String name() {
    return name;
  }

  public Map<String, Double> figures() {
    return figures;
  }

  public Map<String, TimeSeries> timeSeries() {
    return timeSeries;
  }

  public Map<String, Long> counters() {
    return counters;
  }

  public void recordFigure(String name, double value) {
    figures.put(name, value);
  }

  /** Counts something at a time, in nanoseconds since the start. */
  public void addToSeries(String series, long elapsedNanos, double value) {
    timeSeries
        .computeIfAbsent(series, each -> new TimeSeries())
        .add((int) Math.max(0, elapsedNanos / (STEP_SECONDS * 1e9)), value);
  }

  /** A client got what it wanted, so long after it began. */
  public void recordCompletion(long nanos) {
    done.recordValue(Math.min(done.getHighestTrackableValue(), Math.max(0, nanos / 1000)));
  }

  /** Seconds after which that share of those that were fulfilled had their answer. */
  public double completionPercentile(double percent) {
    return done.getTotalCount() == 0 ? Double.NaN : done.getValueAtPercentile(percent) / 1e6;
  }

  /** Takes over the counters that a router logged as it stopped. */
  public void readCounters(String log) {
    RouterCounters.parse(log).forEach((name, value) -> counters.merge(name, value, Long::sum));
  }
}
