package rushwood.testbed.simulation;

import java.util.Map;
import java.util.TreeMap;
import rushwood.testbed.load.ExperimentResult;
import rushwood.testbed.load.ReportNames;

/** The counts of a simulation over all its clients and routers. */
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
  private int connectsToDownHosts;
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

  /** Counts an attempt of a router to connect to a host whose process is not running. */
  void connectToDownHostStarted() {
    connectsToDownHosts++;
  }

  boolean allClientsFinished() {
    return unfinished == 0;
  }

  /** Returns the number of clients that succeeded. */
  int succeeded() {
    return succeeded;
  }

  /** Returns when the last client succeeded, in seconds from the start; 0 if none has. */
  double lastSuccessSeconds() {
    return lastSuccessNanos / 1e9;
  }

  /** Records all counts as figures. */
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
    result.recordFigure(ReportNames.CONNECTS_WHILE_DOWN, connectsToDownHosts);
  }
}
