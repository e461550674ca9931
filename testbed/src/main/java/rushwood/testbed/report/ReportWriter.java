package rushwood.testbed.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jspecify.annotations.Nullable;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ExperimentResult.TimeSeries;
import rushwood.testbed.load.ReportNames;

/** Formats the results of experiments; those of several runs are set side by side under labels. */
public final class ReportWriter {
  private static final int PLOT_WIDTH = 640;
  private static final int PLOT_HEIGHT = 240;
  private static final String TIME_AXIS_LABEL = "time (s)";
  private static final String VALUE_AXIS_LABEL =
      "sum per interval of " + ExperimentResult.STEP_SECONDS + " s";
  private static final String STYLE =
      "body{font:14px sans-serif}td,th{padding:2px 12px;text-align:right}";

  private ReportWriter() {}

  /** Formats one result as JSON: its name, what was played, figures, counters and time series. */
  public static String toJson(ExperimentResult result) throws JsonProcessingException {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", result.name()).put("step_seconds", ExperimentResult.STEP_SECONDS);
    if (!result.origin().isEmpty()) {
      ObjectNode origin = json.putObject("origin");
      result.origin().forEach(origin::put);
    }
    ObjectNode figures = json.putObject("figures");
    result.figures().forEach(figures::put);
    ObjectNode counters = json.putObject("counters");
    result.counters().forEach(counters::put);
    ObjectNode allSeries = json.putObject(ReportNames.TIME_SERIES);
    result
        .timeSeries()
        .forEach((name, series) -> addValues(allSeries.putArray(name), series.values()));
    return JsonMapper.builder().build().writerWithDefaultPrettyPrinter().writeValueAsString(json);
  }

  private static void addValues(ArrayNode array, List<Double> values) {
    values.forEach(array::add);
  }

  /**
   * Formats results as an HTML page: a table of figures and counters with one column per result,
   * and one plot per time series.
   *
   * @param results the results by label, in the order of their columns
   * @throws IOException if a plot cannot be encoded
   */
  public static String toHtml(String title, Map<String, ExperimentResult> results)
      throws IOException {
    StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>");
    page.append(escape(title)).append("</title><style>").append(STYLE).append("</style>");
    page.append("<h1>").append(escape(title)).append("</h1><table><tr><th>figure");
    results.keySet().forEach(label -> page.append("<th>").append(escape(label)));
    appendRows(page, results, ExperimentResult::origin, ReportWriter::escape);
    appendRows(page, results, ExperimentResult::figures, ReportWriter::formatNumber);
    appendRows(page, results, ExperimentResult::counters, ReportWriter::formatNumber);
    page.append("</table>");
    for (String series : allNames(results, ExperimentResult::timeSeries)) {
      String png = Base64.getEncoder().encodeToString(plotPng(series, results));
      page.append("<h2>").append(escape(series)).append("</h2>");
      page.append("<img src=\"data:image/png;base64,").append(png).append("\">");
    }
    return page.append('\n').toString();
  }

  /** Appends a row for each name in any of the results; the cell of a missing value is empty. */
  private static <T> void appendRows(
      StringBuilder page,
      Map<String, ExperimentResult> results,
      Function<ExperimentResult, Map<String, T>> valuesOf,
      Function<T, String> format) {
    for (String name : allNames(results, valuesOf)) {
      page.append("<tr><td>").append(escape(name));
      for (ExperimentResult result : results.values()) {
        T value = valuesOf.apply(result).get(name);
        page.append("<td>").append(value == null ? "" : format.apply(value));
      }
    }
  }

  private static String formatNumber(Number value) {
    return String.format("%.4g", value.doubleValue());
  }

  private static <T> Set<String> allNames(
      Map<String, ExperimentResult> results, Function<ExperimentResult, Map<String, T>> valuesOf) {
    Set<String> names = new LinkedHashSet<>();
    results.values().forEach(result -> names.addAll(valuesOf.apply(result).keySet()));
    return names;
  }

  private static byte[] plotPng(String series, Map<String, ExperimentResult> results)
      throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    results.forEach(
        (label, result) -> data.addSeries(toXySeries(label, result.timeSeries().get(series))));
    JFreeChart chart =
        ChartFactory.createXYLineChart(series, TIME_AXIS_LABEL, VALUE_AXIS_LABEL, data);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ChartUtils.writeChartAsPNG(out, chart, PLOT_WIDTH, PLOT_HEIGHT);
    return out.toByteArray();
  }

  /** Converts a time series to a curve; empty if the result does not have the series. */
  private static XYSeries toXySeries(String label, @Nullable TimeSeries series) {
    XYSeries curve = new XYSeries(label);
    List<Double> values = series == null ? List.of() : series.values();
    for (int i = 0; i < values.size(); i++) {
      curve.add(i * ExperimentResult.STEP_SECONDS, values.get(i));
    }
    return curve;
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
