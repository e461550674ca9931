package rushwood.overload;

/** Counts of the overload controller's decisions since the start. */
public final class OverloadCounts {
  private long repeatedRequests;
  private long returnedAsAdvised;
  private long reserved;
  private long unreserved;
  private long retriesDenied;
  private long ambiguousWritesFailed;
  private long stateChanges;

  OverloadCounts() {}

  /** Requests that repeat one which had no answer. */
  public long repeatedRequests() {
    return repeatedRequests;
  }

  /** Requests that came back at about the time their client was told. */
  public long returnedAsAdvised() {
    return returnedAsAdvised;
  }

  /** Retry-After times for which the schedule had room. */
  public long reserved() {
    return reserved;
  }

  /** Retry-After times of the maximum, told because the schedule was full. */
  public long unreserved() {
    return unreserved;
  }

  /** Retries that the budget of an overloaded group did not allow. */
  public long retriesDenied() {
    return retriesDenied;
  }

  /** Writes failed unsent because an earlier one of that fingerprint may have been executed. */
  public long ambiguousWritesFailed() {
    return ambiguousWritesFailed;
  }

  /** Changes of state of all detectors. */
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
