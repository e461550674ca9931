package rushwood.testbed.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
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
import rushwood.testbed.load.ExperimentResult;

/**
 * Writes results. Builds or settings that are compared stand side by side, each under its label.
 */
public final class ReportWriter {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 240;

  private ReportWriter() {}

  public static String toJson(ExperimentResult result) throws JsonProcessingException {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", result.name()).put("step_seconds", ExperimentResult.STEP_SECONDS);
    ObjectNode figures = json.putObject("figures");
    result.figures().forEach(figures::put);
    ObjectNode counters = json.putObject("counters");
    result.counters().forEach(counters::put);
    ObjectNode lines = json.putObject("lines");
    result
        .timeSeries()
        .forEach(
            (name, line) -> {
              ArrayNode steps = lines.putArray(name);
              line.values().forEach(steps::add);
            });
    return JsonMapper.builder().build().writerWithDefaultPrettyPrinter().writeValueAsString(json);
  }

  /**
   * A page with a table of figures, a column a result, and a plot for each line that any of them
   * has.
   */
  public static String toHtml(String title, Map<String, ExperimentResult> results)
      throws IOException {
    StringBuilder page =
        new StringBuilder("<!doctype html><meta charset=utf-8><title>")
            .append(escape(title))
            .append(
                "</title><style>body{font:14px sans-serif}td,th{padding:2px 12px;text-align:right}</style><h1>")
            .append(escape(title))
            .append("</h1><table><tr><th>figure");
    results.keySet().forEach(label -> page.append("<th>").append(escape(label)));
    for (String figure : allNames(results, ExperimentResult::figures)) {
      appendRow(
          page, figure, results.values().stream().map(each -> each.figures().get(figure)).toList());
    }
    for (String counter : allNames(results, ExperimentResult::counters)) {
      appendRow(
          page,
          counter,
          results.values().stream().map(each -> each.counters().get(counter)).toList());
    }
    page.append("</table>");
    for (String line : allNames(results, ExperimentResult::timeSeries)) {
      page.append("<h2>")
          .append(escape(line))
          .append("</h2><img src=\"data:image/png;base64,")
          .append(Base64.getEncoder().encodeToString(plotPng(line, results)))
          .append("\">");
    }
    return page.append('\n').toString();
  }

  private static void appendRow(StringBuilder page, String name, List<? extends Number> values) {
    page.append("<tr><td>").append(escape(name));
    for (Number value : new ArrayList<Number>(values)) {
      page.append("<td>").append(value == null ? "" : String.format("%.4g", value.doubleValue()));
    }
  }

  private static Set<String> allNames(
      Map<String, ExperimentResult> results, Function<ExperimentResult, Map<String, ?>> of) {
    Set<String> names = new LinkedHashSet<>();
    results.values().forEach(each -> names.addAll(of.apply(each).keySet()));
    return names;
  }

  /** One line of all results over time. */
  public static byte[] plotPng(String line, Map<String, ExperimentResult> results)
      throws IOException {
    XYSeriesCollection data = new XYSeriesCollection();
    for (Map.Entry<String, ExperimentResult> each : new LinkedHashMap<>(results).entrySet()) {
      XYSeries series = new XYSeries(each.getKey());
      ExperimentResult.TimeSeries steps = each.getValue().timeSeries().get(line);
      for (int i = 0; steps != null && i < steps.values().size(); i++) {
        series.add(i * ExperimentResult.STEP_SECONDS, steps.values().get(i));
      }
      data.addSeries(series);
    }
    JFreeChart chart = ChartFactory.createXYLineChart(line, "s", "a step of 0.1 s", data);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ChartUtils.writeChartAsPNG(out, chart, WIDTH, HEIGHT);
    return out.toByteArray();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
