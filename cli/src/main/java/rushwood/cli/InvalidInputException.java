package rushwood.cli;

/** An argument or a file that cannot be used; the message is one line that names it and why. */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
