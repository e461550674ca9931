package rushwood.adapter;

/** A line that cannot be read; the message names the line and the field. */
public final class BadLine extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public BadLine(String message) {
    super(message);
  }
}
