package rushwood.simulator;

/** A line of the simulator that cannot be read; the message names the line and the field. */
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
