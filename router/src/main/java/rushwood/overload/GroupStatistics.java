package rushwood.overload;

/** The overload detector, the unanswered requests and the retry budget of a group. */
final class GroupStatistics {
  private final OverloadDetector detector = new OverloadDetector();
  private final UnansweredRequests unansweredRequests = new UnansweredRequests();
  private final RetryBudget retryBudget;

  GroupStatistics(OverloadSettings settings) {
    retryBudget =
        new RetryBudget(settings.retriesPerFirstAttempt(), settings.minRetriesPerSecond());
  }

  OverloadDetector detector() {
    return detector;
  }

  UnansweredRequests unansweredRequests() {
    return unansweredRequests;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }
}
