package rushwood.testbed.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import rushwood.testbed.model.WriteLedger;

/** The result of an experiment: figures, the router's counters, and values over time. */
public final class ExperimentResult {
  /** The length of a time series' step. */
  public static final double STEP_SECONDS = 0.1;

  private static final double[] REPORTED_PERCENTILES = {50, 95, 99, 100};
  private static final long MAX_COMPLETION_MICROS = 120_000_000L;
  private static final int COMPLETION_DIGITS = 3;

  /** Sums over time, one for each step. */
  public static final class TimeSeries {
    private final List<Double> values = new ArrayList<>();

    private void add(int step, double value) {
      while (values.size() <= step) {
        values.add(0.0);
      }
      values.set(step, values.get(step) + value);
    }

    /** The sum of each step, up to the last one with a value. */
    public List<Double> values() {
      return values;
    }
  }

  private final String name;
  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final Map<String, TimeSeries> timeSeries = new LinkedHashMap<>();
  private final Map<String, Long> counters = new LinkedHashMap<>();
  private final Histogram completionMicros =
      new Histogram(MAX_COMPLETION_MICROS, COMPLETION_DIGITS);

  /** A result of the experiment of that name, still empty. */
  public ExperimentResult(String name) {
    this.name = name;
  }

  /** The experiment's name. */
  public String name() {
    return name;
  }

  /** Figures by name, in the order of their recording. */
  public Map<String, Double> figures() {
    return figures;
  }

  /** Time series by name, in the order of their first values. */
  public Map<String, TimeSeries> timeSeries() {
    return timeSeries;
  }

  /** The router's counters, as it logged them at its end. */
  public Map<String, Long> counters() {
    return counters;
  }

  /** Records a figure. */
  public void recordFigure(String name, double value) {
    figures.put(name, value);
  }

  /** Records how many tries and writes ran more than once. */
  public void recordDuplicates(WriteLedger ledger) {
    recordFigure(ReportNames.DUPLICATED_TRIES, ledger.duplicatedTries());
    recordFigure(ReportNames.DUPLICATED_WRITES, ledger.duplicatedWrites());
  }

  /** Adds to a series at a time, in nanoseconds from the experiment's start. */
  public void addToSeries(String series, long elapsedNanos, double value) {
    timeSeries
        .computeIfAbsent(series, newSeries -> new TimeSeries())
        .add((int) Math.max(0, elapsedNanos / (STEP_SECONDS * 1e9)), value);
  }

  /** A client was served that long after its arrival. */
  public void recordCompletion(long nanos) {
    completionMicros.recordValue(
        Math.min(completionMicros.getHighestTrackableValue(), Math.max(0, nanos / 1000)));
  }

  /**
   * Records percentiles of the times from arrival to service, in seconds; NaN if none was served.
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

  /** Adds the counters that a router logged as it stopped. */
  public void readCounters(String log) {
    RouterCounters.parse(log).forEach((name, value) -> counters.merge(name, value, Long::sum));
  }
}
