package rushwood.simulator;

/** Thrown if a line of the simulator is malformed. The message names the line and the field. */
final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final String message;

  MalformedMessageException(String message) {
    super(message);
    this.message = message;
  }

  @Override
  public String getMessage() {
    return message;
  }
}
