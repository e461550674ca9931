package rushwood.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.UncheckedIOException;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ReportNames;
import rushwood.testbed.report.ReportWriter;

/** Assertions on the figures of an experiment's result; failure messages contain the report. */
final class FigureAssertions {
  private FigureAssertions() {}

  static double figure(ExperimentResult result, String name) {
    Double value = result.figures().get(name);
    assertNotNull(value, () -> "no figure " + name + " in " + report(result));
    return value;
  }

  static void assertFigure(double expected, ExperimentResult result, String name) {
    assertEquals(expected, figure(result, name), () -> name + " in " + report(result));
  }

  static void assertFigureBelow(double limit, ExperimentResult result, String name) {
    double value = figure(result, name);
    assertTrue(
        value < limit,
        () -> name + " is " + value + ", not below " + limit + ": " + report(result));
  }

  static void assertFigureAbove(double limit, ExperimentResult result, String name) {
    double value = figure(result, name);
    assertTrue(
        value > limit,
        () -> name + " is " + value + ", not above " + limit + ": " + report(result));
  }

  /** Asserts that no try and no write was executed more than once. */
  static void assertNoDuplicates(ExperimentResult result) {
    assertFigure(0, result, ReportNames.DUPLICATED_TRIES);
    assertFigure(0, result, ReportNames.DUPLICATED_WRITES);
  }

  private static String report(ExperimentResult result) {
    try {
      return ReportWriter.toJson(result);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
