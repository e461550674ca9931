package rushwood.testbed.load;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** What is counted over the clients of one population, on their event loop. */
final class PopulationCounts {
  private final int clients;
  private final AtomicInteger unfinished; // read by the experiment's thread too
  private int succeeded;
  private int outcomeUnknown;
  private int triesExhausted;
  private int rejected;
  private int rejectedWithRetryAfter;
  private int closedDespiteRetryAfter;
  private int unansweredTries;
  private int surplusAnswers;
  private int connects;

  PopulationCounts(int clients) {
    this.clients = clients;
    unfinished = new AtomicInteger(clients);
  }

  /** Clients that have neither been served nor given up; may be called by any thread. */
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

  /** An answer came that no try waited for, or another client's. */
  void surplusAnswer() {
    surplusAnswers++;
  }

  /** The router closed a connection whose client it had told when to come back. */
  void closedDespiteRetryAfter() {
    closedDespiteRetryAfter++;
  }

  void connectStarted() {
    connects++;
  }

  /** Records the figures of the population at that index of the experiment's file. */
  void reportTo(ExperimentResult result, int populationIndex) {
    BiConsumer<String, Number> record =
        (name, value) ->
            result.recordFigure(
                ReportNames.ofPopulation(populationIndex, name), value.doubleValue());
    record.accept(ReportNames.CLIENTS, clients);
    record.accept(ReportNames.SUCCEEDED, succeeded);
    record.accept(ReportNames.SHARE_SUCCEEDED, (double) succeeded / clients);
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
