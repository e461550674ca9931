package rushwood.testbed.load;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** Counts of events at the clients of one population; updated on their event loop. */
final class PopulationCounts {
  private final int clientCount;
  private final AtomicInteger unfinished; // also read by the experiment's thread
  private int succeeded;
  private int outcomeUnknown;
  private int triesExhausted;
  private int rejected;
  private int rejectedWithRetryAfter;
  private int closedDespiteRetryAfter;
  private int unansweredTries;
  private int surplusAnswers;
  private int connects;

  PopulationCounts(int clientCount) {
    this.clientCount = clientCount;
    unfinished = new AtomicInteger(clientCount);
  }

  /** Returns the number of clients that have not finished; may be called by any thread. */
  int unfinished() {
    return unfinished.get();
  }

  void clientFinished() {
    unfinished.decrementAndGet();
  }

  void clientSucceeded() {
    succeeded++;
  }

  void clientOutcomeUnknown() {
    outcomeUnknown++;
  }

  void clientTriesExhausted() {
    triesExhausted++;
  }

  void tryRejected(boolean withRetryAfter) {
    rejected++;
    rejectedWithRetryAfter += withRetryAfter ? 1 : 0;
  }

  void tryUnanswered() {
    unansweredTries++;
  }

  /** Counts an answer that no try was waiting for, or that belongs to another client. */
  void surplusAnswerReceived() {
    surplusAnswers++;
  }

  /** Counts a connection that the router closed between a Retry-After and the client's next try. */
  void connectionClosedDespiteRetryAfter() {
    closedDespiteRetryAfter++;
  }

  void connectStarted() {
    connects++;
  }

  /**
   * Records the figures of the population.
   *
   * @param populationIndex the index of the population in the experiment file
   */
  void reportTo(ExperimentResult result, int populationIndex) {
    BiConsumer<String, Number> record =
        (name, value) ->
            result.recordFigure(
                ReportNames.ofPopulation(populationIndex, name), value.doubleValue());
    record.accept(ReportNames.CLIENTS, clientCount);
    record.accept(ReportNames.SUCCEEDED, succeeded);
    record.accept(ReportNames.SHARE_SUCCEEDED, (double) succeeded / clientCount);
    record.accept(ReportNames.OUTCOME_UNKNOWN, outcomeUnknown);
    record.accept(ReportNames.TRIES_EXHAUSTED, triesExhausted);
    record.accept(ReportNames.UNFINISHED, unfinished());
    record.accept(ReportNames.REJECTED, rejected);
    record.accept(ReportNames.REJECTED_WITH_RETRY_AFTER, rejectedWithRetryAfter);
    record.accept(ReportNames.CONNECTS, connects);
    record.accept(ReportNames.CLOSED_DESPITE_RETRY_AFTER, closedDespiteRetryAfter);
    record.accept(ReportNames.UNANSWERED_TRIES, unansweredTries);
    record.accept(ReportNames.SURPLUS_ANSWERS, surplusAnswers);
  }
}
