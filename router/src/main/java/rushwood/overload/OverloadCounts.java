package rushwood.overload;

/** Counts what the overload controller has detected and decided since the start. */
public final class OverloadCounts {
  private long repeatedRequests;
  private long returnedAsAdvised;
  private long reserved;
  private long unreserved;
  private long retriesDenied;
  private long ambiguousWritesFailed;
  private long stateChanges;

  OverloadCounts() {}

  /** Returns the number of requests that repeated an unanswered one. */
  public long repeatedRequests() {
    return repeatedRequests;
  }

  /** Returns the number of requests that returned in time after a Retry-After. */
  public long returnedAsAdvised() {
    return returnedAsAdvised;
  }

  /**
   * Returns the number of Retry-After times of rejected requests for which the schedule had room.
   * Refused connections do not count.
   */
  public long reserved() {
    return reserved;
  }

  /**
   * Returns the number of Retry-After times of rejected requests that were set to the maximum
   * because the schedule had no room. Refused connections do not count.
   */
  public long unreserved() {
    return unreserved;
  }

  /** Returns the number of retries that the retry budget of a group denied. */
  public long retriesDenied() {
    return retriesDenied;
  }

  /**
   * Returns the number of writes that were failed without being sent because an earlier write of
   * the same fingerprint may have been executed.
   */
  public long ambiguousWritesFailed() {
    return ambiguousWritesFailed;
  }

  /** Returns the number of state changes of all overload detectors. */
  public long stateChanges() {
    return stateChanges;
  }

  void addRepeatedRequest() {
    repeatedRequests++;
  }

  void addReturnedAsAdvised() {
    returnedAsAdvised++;
  }

  void addReservation(boolean hasRoom) {
    if (hasRoom) {
      reserved++;
    } else {
      unreserved++;
    }
  }

  void addRetryDenied() {
    retriesDenied++;
  }

  void addAmbiguousWriteFailed() {
    ambiguousWritesFailed++;
  }

  void addStateChange() {
    stateChanges++;
  }
}
