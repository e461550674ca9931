package rushwood.protocol;

/** Type bytes of the messages that clients send. */
final class FrontendMessageType {
  static final char QUERY = 'Q';
  static final char TERMINATE = 'X';
  static final char SYNC = 'S';
  static final char FLUSH = 'H';

  private static final String EXTENDED_QUERY_TYPES = "PBDECFHdcf";

  private FrontendMessageType() {}

  /**
   * Whether the type belongs to the extended query protocol, a function call or COPY: known, but
   * not served.
   */
  static boolean isUnsupported(int type) {
    return EXTENDED_QUERY_TYPES.indexOf(type) >= 0;
  }
}
