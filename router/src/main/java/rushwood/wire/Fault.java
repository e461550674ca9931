package rushwood.wire;

/**
 * What a peer wrote cannot be taken; {@code fatal} where the messages that follow cannot be found.
 */
final class Fault extends Exception {
  private static final long serialVersionUID = 1L;

  final String state;
  final boolean fatal;

  Fault(String state, String message, boolean fatal) {
    super(message, null, false, false);
    this.state = state;
    this.fatal = fatal;
  }

  static Fault lost(String message) {
    return new Fault("08P01", message, true);
  }
}
