package rushwood.testbed.simulation;

import java.util.Map;
import java.util.TreeMap;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ReportNames;

/** What a simulation counts over all its clients and routers. */
final class SimulationCounts {
  private final Map<Integer, Integer> rejectedByGroup = new TreeMap<>();
  private int clients;
  private int unfinished;
  private int succeeded;
  private int outcomeUnknown;
  private int triesExhausted;
  private int rejected;
  private int tries;
  private int attempts;
  private int connectsWhileDown;
  private long lastSuccessNanos;

  void clientCreated() {
    clients++;
    unfinished++;
  }

  void tryStarted() {
    tries++;
  }

  void tryRejected(int group) {
    rejected++;
    rejectedByGroup.merge(group, 1, Integer::sum);
  }

  void clientSucceeded(long elapsedNanos) {
    succeeded++;
    unfinished--;
    lastSuccessNanos = elapsedNanos;
  }

  void clientOutcomeUnknown() {
    outcomeUnknown++;
    unfinished--;
  }

  void clientTriesExhausted() {
    triesExhausted++;
    unfinished--;
  }

  void attemptStarted() {
    attempts++;
  }

  /** A router tried to connect to a host whose process does not run. */
  void connectedWhileDown() {
    connectsWhileDown++;
  }

  boolean allClientsFinished() {
    return unfinished == 0;
  }

  /** Clients that got what they wanted. */
  int succeeded() {
    return succeeded;
  }

  /** When the last client succeeded, in seconds from the start. */
  double lastSuccessSeconds() {
    return lastSuccessNanos / 1e9;
  }

  void reportTo(ExperimentResult result) {
    result.recordFigure(ReportNames.CLIENTS, clients);
    result.recordFigure(ReportNames.SHARE_SUCCEEDED, (double) succeeded / clients);
    result.recordFigure(ReportNames.OUTCOME_UNKNOWN, outcomeUnknown);
    result.recordFigure(ReportNames.TRIES_EXHAUSTED, triesExhausted);
    result.recordFigure(ReportNames.UNFINISHED, unfinished);
    result.recordFigure(ReportNames.REJECTED, rejected);
    rejectedByGroup.forEach(
        (group, count) -> result.recordFigure(ReportNames.rejectedOfGroup(group), count));
    result.recordFigure(ReportNames.TRIES, tries);
    result.recordFigure(ReportNames.ATTEMPTS, attempts);
    result.recordFigure(ReportNames.CONNECTS_WHILE_DOWN, connectsWhileDown);
  }
}
