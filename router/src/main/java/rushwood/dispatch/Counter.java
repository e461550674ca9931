package rushwood.dispatch;

import rushwood.api.AttemptOutcome;

/**
 * What a router counts since its start. {@code SHOW counters} and the log line at exit list the
 * counters under these names in lower case, in this order.
 */
public enum Counter {
  /** Client connections that were accepted. */
  CLIENTS_ACCEPTED,
  /** Client connections that were refused, or closed as they exceeded a limit. */
  CLIENTS_REFUSED,
  /** Client connections that ended, for whatever reason. */
  CLIENTS_CLOSED,
  /** Idle client connections that were closed to free their file descriptors. */
  CLIENTS_EVICTED,
  /** Those of {@link #CLIENTS_EVICTED} that had never had an answer. */
  CLIENTS_EVICTED_UNANSWERED,
  /** Client connections that were closed as the rest of a message did not come in time. */
  CLIENTS_TIMED_OUT,
  /** Statements and messages from clients that are not accepted; no host saw them. */
  STATEMENTS_REJECTED,

  /** Requests that were taken from clients. */
  REQUESTS_RECEIVED,
  /** Requests that were answered with a row. */
  REQUESTS_SUCCEEDED,
  /**
   * Requests that were rejected: they ran nowhere or may run twice, so trying again is harmless.
   */
  REQUESTS_REJECTED,
  /** Requests that failed: they may or may not have run. */
  REQUESTS_FAILED,
  /** Requests whose client disconnected or cancelled them before the final response. */
  REQUESTS_CANCELLED,

  /** Attempts that the routing policy asked for, sent or not. */
  ATTEMPTS_STARTED,
  /** Attempts that ended with {@link AttemptOutcome#SUCCESS}. */
  ATTEMPTS_SUCCESS,
  /** Attempts that ended with {@link AttemptOutcome#ERROR}. */
  ATTEMPTS_ERROR,
  /** Attempts that ended with {@link AttemptOutcome#MALFORMED}. */
  ATTEMPTS_MALFORMED,
  /** Attempts that ended with {@link AttemptOutcome#OVERLOADED}. */
  ATTEMPTS_OVERLOADED,
  /** Attempts that ended with {@link AttemptOutcome#REPLICA_LAGGING}. */
  ATTEMPTS_REPLICA_LAGGING,
  /** Attempts that ended with {@link AttemptOutcome#TIMED_OUT}. */
  ATTEMPTS_TIMED_OUT,
  /** Attempts that ended with {@link AttemptOutcome#CONNECTION_LOST}. */
  ATTEMPTS_CONNECTION_LOST,
  /** Attempts that ended with {@link AttemptOutcome#CANCELLED}. */
  ATTEMPTS_CANCELLED,
  /** Attempts that ended with {@link AttemptOutcome#CONNECT_FAILED}. */
  ATTEMPTS_CONNECT_FAILED,
  /** Attempts that ended with {@link AttemptOutcome#NOT_SENT}. */
  ATTEMPTS_NOT_SENT,
  /**
   * Attempts and health checks that the {@link WriteGate} withheld: their host drains, their client
   * has left, or their time to be written had passed. Attempts among them count as not sent as
   * well.
   */
  ATTEMPTS_WITHHELD,
  /** Attempts and health checks that the {@link WriteGate} deferred, after a pause. */
  ATTEMPTS_DEFERRED,

  /** Health checks that the routing policy asked for. */
  PROBES_SENT,
  /** Health checks that a host answered. */
  PROBES_ANSWERED,

  /** Connections to hosts that the router began to open. */
  CONNECTIONS_OPENED,
  /** Uses of an idle connection to a host. */
  CONNECTIONS_REUSED,
  /** Connections to hosts that were refused or reset at once, or did not come up in time. */
  CONNECTIONS_FAILED,
  /** Connections to hosts that ended, for whatever reason. */
  CONNECTIONS_CLOSED,
  /** Connections to hosts that were not begun: the connect backoff did not allow them. */
  CONNECTS_SUPPRESSED,
  /** Messages from hosts that violate the protocol; each ends its connection. */
  BACKEND_PROTOCOL_ERRORS,
  /** Responses from hosts that were followed by excess data; each ends its connection. */
  BACKEND_EXCESS_DATA,

  /** Complete endpoint lists that were applied. */
  ENDPOINT_LISTS_REPLACED,
  /**
   * Changes to the endpoint list that were applied, and lists that were ignored but for their
   * draining and removed endpoints.
   */
  ENDPOINT_LISTS_UPDATED,
  /** Answers from discovery that the endpoint list is unchanged. */
  ENDPOINT_LISTS_UNCHANGED,
  /** Parts of lists from discovery that could not be read, 20 for each list at most. */
  ENDPOINT_LISTS_MALFORMED,
  /** Calls to discovery that failed. */
  ENDPOINT_LISTS_FAILED,

  /** Configurations that were read again and are valid; they may change nothing. */
  CONFIGS_APPLIED,
  /** Configurations that were read again and could not be used. */
  CONFIGS_REJECTED,

  /** Invariants of the router that did not hold: each is a fault of the program. */
  INVARIANTS_VIOLATED,
  /** Exceptions that ended one request or one task: each is a fault of the program. */
  EXCEPTIONS_CAUGHT;

  /** The counter of attempts that end with the given outcome. */
  static Counter ofAttempts(AttemptOutcome outcome) {
    return switch (outcome) {
      case SUCCESS -> ATTEMPTS_SUCCESS;
      case ERROR -> ATTEMPTS_ERROR;
      case MALFORMED -> ATTEMPTS_MALFORMED;
      case OVERLOADED -> ATTEMPTS_OVERLOADED;
      case REPLICA_LAGGING -> ATTEMPTS_REPLICA_LAGGING;
      case TIMED_OUT -> ATTEMPTS_TIMED_OUT;
      case CONNECTION_LOST -> ATTEMPTS_CONNECTION_LOST;
      case CANCELLED -> ATTEMPTS_CANCELLED;
      case CONNECT_FAILED -> ATTEMPTS_CONNECT_FAILED;
      case NOT_SENT -> ATTEMPTS_NOT_SENT;
    };
  }
}
