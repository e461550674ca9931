package rushwood.cli;

/**
 * Thrown when a command-line argument or an input file is invalid. The message is one line with the
 * argument or file and the reason.
 */
final class InvalidInputException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidInputException(String message) {
    super(message);
  }
}
