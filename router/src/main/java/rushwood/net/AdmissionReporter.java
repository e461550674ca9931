package rushwood.net;

import rushwood.overload.AdmittedConnection;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.ConnectionState;

/** Tells connection admission what the connection of one client does. */
final class AdmissionReporter {
  private final ConnectionAdmission admission;
  private final AdmittedConnection admitted;
  private boolean startedUp;
  private boolean answered;
  private boolean retryAfterSent; // as the answer to the last request

  AdmissionReporter(ConnectionAdmission admission, AdmittedConnection admitted) {
    this.admission = admission;
    this.admitted = admitted;
  }

  AdmittedConnection admitted() {
    return admitted;
  }

  /** Whether something was sent to the client after the startup response. */
  boolean isAnswered() {
    return answered;
  }

  void requestSubmitted() {
    retryAfterSent = false;
  }

  /** The answer that is written next tells the client when to try again. */
  void retryAfterAnnounced() {
    retryAfterSent = true;
  }

  /** Something was written; the startup response itself does not count as an answer. */
  void written(boolean isStartingUp) {
    answered |= startedUp;
    startedUp |= !isStartingUp;
  }

  /** Reports the state; {@code isIdle} if there is no request, and no part of a message. */
  void report(boolean isIdle, long now) {
    admission.setState(admitted, connectionState(isIdle), now);
  }

  private ConnectionState connectionState(boolean isIdle) {
    if (!isIdle) {
      return ConnectionState.BUSY;
    }
    if (!answered) {
      return ConnectionState.NEW;
    }
    return retryAfterSent ? ConnectionState.AWAITING_RETRY : ConnectionState.IDLE;
  }
}
