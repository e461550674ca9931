package rushwood.discovery;

import rushwood.api.Endpoint;

/**
 * Names and constants of the discovery agent's protocol. They are defined by the agent; the rest of
 * the router uses its own terms.
 */
final class DiscoveryProtocol {
  /** Path of the complete list. */
  static final String LIST_PATH = "/registry/instances";

  /** Interval at which the agent sends an empty line on an idle watch. */
  static final long HEARTBEAT_NANOS = 2_000_000_000L;

  static final String VERSION = "version";
  static final String COMPLETE = "full";
  static final String ENTRIES = "servers";

  static final String ID = "id";
  static final String ADDRESS = "addr";
  static final String ZONE = "zone";
  static final String GROUP = "cell";
  static final String STATE = "state";
  static final String WEIGHT = "weight";
  static final String STARTED_AT_MILLIS = "started_ms";
  static final String ROLE = "part";
  static final String ROLE_PRIMARY = "master";

  private static final String STATE_READY = "Ready";
  private static final String STATE_DRAINING = "Terminating";
  private static final String STATE_REMOVED = "Gone";
  private static final int MAX_QUOTED_CHARS = 20;

  private DiscoveryProtocol() {}

  /**
   * Returns the path of a watch. Its response contains the changes after {@code sinceVersion} and
   * stays open for later changes.
   */
  static String watchPath(long sinceVersion) {
    return LIST_PATH + "?follow=1&since=" + sinceVersion;
  }

  /**
   * Parses a value of the field {@code state}.
   *
   * @throws InvalidFieldException if the value is unknown; the message quotes its first 20
   *     characters
   */
  static Endpoint.State parseState(String value) {
    return switch (value) {
      case STATE_READY -> Endpoint.State.READY;
      case STATE_DRAINING -> Endpoint.State.DRAINING;
      case STATE_REMOVED -> Endpoint.State.REMOVED;
      default -> throw new InvalidFieldException(STATE, "has the unknown value " + quote(value));
    };
  }

  /**
   * Returns whether the JSON of an entry may describe a draining or removed endpoint: it contains
   * the name of such a state, or an escape sequence that could stand for a part of the name.
   */
  static boolean mayBeLeaving(String entry) {
    return entry.contains(STATE_DRAINING)
        || entry.contains(STATE_REMOVED)
        || entry.indexOf('\\') >= 0;
  }

  private static String quote(String value) {
    return value.substring(0, Math.min(MAX_QUOTED_CHARS, value.length())).replaceAll("\\s", "_");
  }
}
