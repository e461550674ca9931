package rushwood.protocol;

/** Type bytes of the messages that a client sends. */
final class FrontendMessageType {
  static final char QUERY = 'Q';
  static final char TERMINATE = 'X';
  static final char SYNC = 'S';
  static final char FLUSH = 'H';

  private static final String UNSUPPORTED_TYPES = "PBDECFHdcf";

  private FrontendMessageType() {}

  /**
   * Returns whether the type belongs to the extended query protocol, a function call or COPY, which
   * are recognized but not supported.
   */
  static boolean isUnsupported(int type) {
    return UNSUPPORTED_TYPES.indexOf(type) >= 0;
  }
}
