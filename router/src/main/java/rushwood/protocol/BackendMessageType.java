package rushwood.protocol;

/**
 * Type bytes of the messages that a server sends: a host to the router, and the router to a client.
 */
public final class BackendMessageType {
  public static final char AUTHENTICATION = 'R';
  public static final char BACKEND_KEY_DATA = 'K';
  public static final char COMMAND_COMPLETE = 'C';
  public static final char DATA_ROW = 'D';
  public static final char EMPTY_QUERY_RESPONSE = 'I';
  public static final char ERROR_RESPONSE = 'E';
  public static final char NEGOTIATE_PROTOCOL_VERSION = 'v';
  public static final char NOTICE_RESPONSE = 'N';
  public static final char PARAMETER_STATUS = 'S';
  public static final char READY_FOR_QUERY = 'Z';
  public static final char ROW_DESCRIPTION = 'T';

  private BackendMessageType() {}
}
