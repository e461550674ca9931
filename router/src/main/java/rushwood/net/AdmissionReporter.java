package rushwood.net;

import rushwood.overload.AdmittedConnection;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.ConnectionState;

/** Reports the state of one client connection to {@link ConnectionAdmission}. */
final class AdmissionReporter {
  private final ConnectionAdmission admission;
  private final AdmittedConnection admittedConnection;
  private boolean startupResponseSent;
  private boolean answerSent;
  private boolean retryAfterSent; // with the answer to the last request

  AdmissionReporter(ConnectionAdmission admission, AdmittedConnection admittedConnection) {
    this.admission = admission;
    this.admittedConnection = admittedConnection;
  }

  AdmittedConnection admittedConnection() {
    return admittedConnection;
  }

  /** Returns whether anything was sent to the client after the startup response. */
  boolean hasSentAnswer() {
    return answerSent;
  }

  void requestSubmitted() {
    retryAfterSent = false;
  }

  /** Records that the next answer to be written carries a Retry-After time. */
  void retryAfterAnnounced() {
    retryAfterSent = true;
  }

  /**
   * Records that bytes were written to the client. The startup response itself does not count as an
   * answer.
   *
   * @param isStartingUp whether the startup message has not been answered yet
   */
  void bytesWritten(boolean isStartingUp) {
    answerSent |= startupResponseSent;
    startupResponseSent |= !isStartingUp;
  }

  /**
   * Reports the current state.
   *
   * @param isIdle whether the client has no pending request and has sent no part of a message
   * @param now clock time in nanoseconds
   */
  void report(boolean isIdle, long now) {
    admission.setState(admittedConnection, connectionState(isIdle), now);
  }

  private ConnectionState connectionState(boolean isIdle) {
    if (!isIdle) {
      return ConnectionState.BUSY;
    }
    if (!answerSent) {
      return ConnectionState.NEW;
    }
    return retryAfterSent ? ConnectionState.AWAITING_RETRY : ConnectionState.IDLE;
  }
}
