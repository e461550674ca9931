package rushwood.testbed.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rushwood.testbed.model.WriteLedger;

/** The result of an experiment: figures, the routers' counters, and time series. */
public final class ExperimentResult {
  /** The length of a step of a time series. */
  public static final double STEP_SECONDS = 0.1;

  private static final double[] REPORTED_PERCENTILES = {50, 95, 99, 100};
  private static final long MAX_COMPLETION_MICROS = 120_000_000L;
  private static final int COMPLETION_SIGNIFICANT_DIGITS = 3;

  /** A sum for each time step of {@link #STEP_SECONDS}. */
  public static final class TimeSeries {
    private final List<Double> values = new ArrayList<>();

    private void add(int step, double value) {
      while (values.size() <= step) {
        values.add(0.0);
      }
      values.set(step, values.get(step) + value);
    }

    /** Returns the sum of each step, up to the last step with a value. */
    public List<Double> values() {
      return values;
    }
  }

  private final String name;
  private final Map<String, String> origin = new LinkedHashMap<>();
  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final Map<String, TimeSeries> timeSeries = new LinkedHashMap<>();
  private final Map<String, Long> counters = new LinkedHashMap<>();
  private final Histogram completionMicros =
      new Histogram(MAX_COMPLETION_MICROS, COMPLETION_SIGNIFICANT_DIGITS);

  /** Creates an empty result for the experiment of the given name. */
  public ExperimentResult(String name) {
    this.name = name;
  }

  /** Returns the experiment's name. */
  public String name() {
    return name;
  }

  /** Returns what was played, by name; empty for a simulation. */
  public Map<String, String> origin() {
    return origin;
  }

  /** Records what was played. */
  public void recordOrigin(String name, String value) {
    origin.put(name, value);
  }

  /** Returns the figures by name, in the order in which they were recorded. */
  public Map<String, Double> figures() {
    return figures;
  }

  /** Returns the time series by name, in the order of their first values. */
  public Map<String, TimeSeries> timeSeries() {
    return timeSeries;
  }

  /** Returns the counters from the routers' logs by name; empty if none were added. */
  public Map<String, Long> counters() {
    return counters;
  }

  /** Records a figure, which replaces an earlier one of the same name. */
  public void recordFigure(String name, double value) {
    figures.put(name, value);
  }

  /** Records how many tries and how many writes were executed more than once. */
  public void recordDuplicates(WriteLedger ledger) {
    recordFigure(ReportNames.DUPLICATED_TRIES, ledger.duplicatedTries());
    recordFigure(ReportNames.DUPLICATED_WRITES, ledger.duplicatedWrites());
  }

  /**
   * Adds a value to a time series, which is created if it does not exist.
   *
   * @param elapsedNanos the time since the experiment's start; negative values count as 0
   */
  public void addToSeries(String series, long elapsedNanos, double value) {
    timeSeries
        .computeIfAbsent(series, newSeries -> new TimeSeries())
        .add((int) Math.max(0, elapsedNanos / (STEP_SECONDS * 1e9)), value);
  }

  /** Records the time from a client's arrival to its success. */
  public void recordCompletion(long completionNanos) {
    completionMicros.recordValue(
        Math.min(completionMicros.getHighestTrackableValue(), Math.max(0, completionNanos / 1000)));
  }

  /**
   * Records percentiles of the times from the clients' arrival to their success, in seconds; NaN if
   * no client succeeded.
   */
  public void recordCompletionPercentiles() {
    for (double percentile : REPORTED_PERCENTILES) {
      recordFigure(ReportNames.completionPercentile(percentile), completionSeconds(percentile));
    }
  }

  private double completionSeconds(double percentile) {
    return completionMicros.getTotalCount() == 0
        ? Double.NaN
        : completionMicros.getValueAtPercentile(percentile) / 1e6;
  }

  /** Adds the counters in the log of a stopped router to {@link #counters}. */
  public void addLoggedCounters(String log) {
    RouterCounters.parse(log).forEach((name, value) -> counters.merge(name, value, Long::sum));
  }
}
