package rushwood.simulator;

/** A line that cannot be read; the message names the line and the field. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }
}
