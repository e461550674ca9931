package rushwood.simulator;

/** A line of the simulator that cannot be read; the message names the line and the field. */
final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedMessageException(String message) {
    super(message);
  }
}
