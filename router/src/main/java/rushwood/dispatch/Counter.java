package rushwood.dispatch;

import rushwood.api.AttemptOutcome;

/**
 * The counters of a router since its start. {@code SHOW counters} and the log line at exit list
 * them in this order, by their names in lower case.
 */
public enum Counter {
  /** Accepted client connections. */
  CLIENTS_ACCEPTED,
  /** Client connections that were refused, or closed because they exceeded a limit. */
  CLIENTS_REFUSED,
  /** Client connections that ended, for any reason. */
  CLIENTS_CLOSED,
  /** Idle client connections that were closed to free their file descriptors. */
  CLIENTS_EVICTED,
  /** Connections among {@link #CLIENTS_EVICTED} that had never received an answer. */
  CLIENTS_EVICTED_UNANSWERED,
  /** Client connections that were closed because the rest of a message did not arrive in time. */
  CLIENTS_TIMED_OUT,
  /** Client connections that were closed because the client did not read its answers. */
  CLIENTS_NOT_READING,
  /** Statements and messages from clients that were not accepted and reached no host. */
  STATEMENTS_REJECTED,
  /** Requests that were rejected at shutdown while they waited behind others of their client. */
  QUEUED_REQUESTS_REJECTED,

  /** Requests received from clients. */
  REQUESTS_RECEIVED,
  /** Requests that were answered with a row. */
  REQUESTS_SUCCEEDED,
  /** Requests that were rejected: they have not run or are idempotent, so a retry is harmless. */
  REQUESTS_REJECTED,
  /** Requests that failed: they may or may not have run. */
  REQUESTS_FAILED,
  /** Requests whose client disconnected or cancelled them before the final response. */
  REQUESTS_CANCELLED,

  /** Attempts that the routing policy ordered, sent or not. */
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
   * Attempts and health checks that the {@link WriteGate} withheld because their host was draining,
   * their client had disconnected, or their write deadline had passed. Withheld attempts also count
   * as {@link #ATTEMPTS_NOT_SENT}.
   */
  ATTEMPTS_WITHHELD,
  /**
   * Attempts and health checks that the {@link WriteGate} deferred after a pause of the process.
   */
  ATTEMPTS_DEFERRED,

  /** Health checks that the routing policy ordered, sent or not. */
  PROBES_SENT,
  /** Health checks that a host answered. */
  PROBES_ANSWERED,

  /** Connections to hosts that the router started to open. */
  CONNECTIONS_OPENED,
  /** Uses of an idle connection to a host. */
  CONNECTIONS_REUSED,
  /**
   * Connections to hosts that were refused or lost while connecting, or not established in time.
   */
  CONNECTIONS_FAILED,
  /** Connections to hosts that ended, for any reason. */
  CONNECTIONS_CLOSED,
  /** Connections to hosts that were not opened because of the connect backoff. */
  CONNECTS_SUPPRESSED,
  /** Messages from hosts that violated the protocol; each ended its connection. */
  BACKEND_PROTOCOL_ERRORS,
  /** Responses from hosts that were followed by excess data; each ended its connection. */
  BACKEND_EXCESS_DATA,
  /** Connections to hosts that were closed in the middle of a response, for lack of memory. */
  RESPONSES_ABANDONED,

  /** Complete endpoint lists that were applied. */
  ENDPOINT_LISTS_REPLACED,
  /**
   * Changes to the endpoint list that were applied, and lists of which only the draining and
   * removed endpoints were applied.
   */
  ENDPOINT_LISTS_UPDATED,
  /** Answers from discovery that the endpoint list is unchanged. */
  ENDPOINT_LISTS_UNCHANGED,
  /** Unreadable parts of lists from discovery, at most 20 of each list. */
  ENDPOINT_LISTS_MALFORMED,
  /** Calls to discovery that failed. */
  ENDPOINT_LISTS_FAILED,

  /** Reloaded configurations that are valid, also unchanged ones. */
  CONFIGS_APPLIED,
  /**
   * Reloaded configurations that are invalid; retries that fail for the same reason do not count.
   */
  CONFIGS_REJECTED,

  /** Violated invariants of the router, each caused by a bug. */
  INVARIANTS_VIOLATED,
  /** Unexpected exceptions that ended one request or one task. */
  EXCEPTIONS_CAUGHT;

  /** Returns the counter of attempts that ended with the given outcome. */
  static Counter forAttemptOutcome(AttemptOutcome outcome) {
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
