package rushwood.testbed.load;

import java.util.concurrent.atomic.AtomicInteger;

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

  void reportTo(ExperimentResult result, String prefix) {
    result.recordFigure(prefix + ".clients", clients);
    result.recordFigure(prefix + ".fulfilled", succeeded);
    result.recordFigure(prefix + "." + ReportNames.SHARE_SUCCEEDED, (double) succeeded / clients);
    result.recordFigure(prefix + "." + ReportNames.OUTCOME_UNKNOWN, outcomeUnknown);
    result.recordFigure(prefix + "." + ReportNames.TRIES_EXHAUSTED, triesExhausted);
    result.recordFigure(prefix + "." + ReportNames.UNFINISHED, unfinished());
    result.recordFigure(prefix + "." + ReportNames.REJECTED, rejected);
    result.recordFigure(prefix + ".turned_back_with_wait", rejectedWithRetryAfter);
    result.recordFigure(prefix + ".connects", connects);
    result.recordFigure(prefix + ".closed_though_told_to_return", closedDespiteRetryAfter);
    result.recordFigure(prefix + ".tries_without_answer", unansweredTries);
    result.recordFigure(prefix + ".answers_too_many", surplusAnswers);
  }
}
