package rushwood.testbed.standin;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Encodes the messages of PostgreSQL's protocol 3 that clients and stand-in hosts send. */
public final class MessageEncoder {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_DATA_ROW_BYTES = 1 << 20; // the router accepts no longer row
  private static final char AUTHENTICATION = 'R';
  private static final char PARAMETER_STATUS = 'S';
  private static final char ROW_DESCRIPTION = 'T';
  private static final char COMMAND_COMPLETE = 'C';

  private MessageEncoder() {}

  private static void write(ByteBuf out, char type, String body) {
    if (type != ProtocolMessage.STARTUP) {
      out.writeByte(type);
    }
    out.writeInt(LENGTH_BYTES + body.length()).writeCharSequence(body, StandardCharsets.ISO_8859_1);
  }

  /** Writes a client's StartupMessage: protocol 3.0, a user and a database. */
  public static void writeStartup(ByteBuf out) {
    write(out, ProtocolMessage.STARTUP, "\0\3\0\0user\0client\0database\0core\0\0");
  }

  /** Writes a Query message with one statement. */
  public static void writeQuery(ByteBuf out, String statement) {
    write(out, ProtocolMessage.QUERY, statement + "\0");
  }

  /** Writes ReadyForQuery with the status "not in a transaction". */
  public static void writeReadyForQuery(ByteBuf out) {
    write(out, ProtocolMessage.READY_FOR_QUERY, "I");
  }

  /** Writes a server's answer to the StartupMessage: AuthenticationOk and ReadyForQuery. */
  public static void writeStartupResponse(ByteBuf out) {
    write(out, AUTHENTICATION, "\0\0\0\0");
    writeReadyForQuery(out);
  }

  /** Writes ParameterStatus. */
  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    write(out, PARAMETER_STATUS, name + "\0" + value + "\0");
  }

  /** Writes ErrorResponse with the severity ERROR. */
  public static void writeError(ByteBuf out, String sqlState) {
    write(out, ProtocolMessage.ERROR_RESPONSE, "SERROR\0C" + sqlState + "\0Mno\0\0");
  }

  /**
   * Writes a result of one row with one column of type bytea: RowDescription, DataRow and
   * CommandComplete.
   */
  public static void writeRow(ByteBuf out, String value) {
    writeRowDescription(out);
    write(out, ProtocolMessage.DATA_ROW, "\0\1" + encodeInt(value.length()) + value);
    write(out, COMMAND_COMPLETE, "SELECT 1\0");
  }

  /** Writes RowDescription and the first bytes of a DataRow of the longest length. */
  static void writePartOfLongestRow(ByteBuf out, int bytes) {
    writeRowDescription(out);
    out.writeByte(ProtocolMessage.DATA_ROW).writeInt(MAX_DATA_ROW_BYTES).writeZero(bytes);
  }

  private static void writeRowDescription(ByteBuf out) {
    write(out, ROW_DESCRIPTION, "\0\1val\0\0\0\0\0\0\0\0\0\0\21\377\377\377\377\377\377\0\0");
  }

  /** Returns the four bytes of an integer in network order, each as a character. */
  private static String encodeInt(int value) {
    return ""
        + (char) (value >> 24)
        + (char) (value >> 16 & 255)
        + (char) (value >> 8 & 255)
        + (char) (value & 255);
  }
}
