package rushwood.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the messages of version 3 of PostgreSQL's protocol that the router sends. The {@code
 * write...} methods append to a buffer; the others return a new buffer that the caller releases.
 */
public final class MessageWriter {
  /** Protocol 3.0: the major version in the upper 16 bits, the minor version in the lower. */
  static final int PROTOCOL_VERSION = 3 << 16;

  private static final int TEXT_TYPE_OID = 25;
  private static final char TRANSACTION_STATUS_IDLE = 'I';

  private MessageWriter() {}

  /** Returns the index of the length field, which {@link #endMessage} fills in. */
  private static int beginMessage(ByteBuf out, char type) {
    out.writeByte(type);
    int lengthIndex = out.writerIndex();
    out.writeInt(0);
    return lengthIndex;
  }

  private static void endMessage(ByteBuf out, int lengthIndex) {
    out.setInt(lengthIndex, out.writerIndex() - lengthIndex);
  }

  private static void writeCString(ByteBuf out, String text) {
    ByteBufUtil.writeUtf8(out, text);
    out.writeByte(0);
  }

  private static void writeErrorField(ByteBuf out, char field, String value) {
    out.writeByte(field);
    writeCString(out, value);
  }

  /** Writes the response to an empty query string. */
  public static void writeEmptyQueryResponse(ByteBuf out) {
    endMessage(out, beginMessage(out, BackendMessageType.EMPTY_QUERY_RESPONSE));
  }

  /** Writes the end of a response. Its transaction status is always idle. */
  public static void writeReadyForQuery(ByteBuf out) {
    int lengthIndex = beginMessage(out, BackendMessageType.READY_FOR_QUERY);
    out.writeByte(TRANSACTION_STATUS_IDLE);
    endMessage(out, lengthIndex);
  }

  /**
   * Writes all messages of the response to a startup message, including ReadyForQuery.
   *
   * @param cancelKey the process ID and the secret key with which a CancelRequest identifies this
   *     connection
   */
  public static void writeStartupResponse(ByteBuf out, long cancelKey) {
    writeAuthenticationOk(out);
    writeParameterStatus(out, "server_version", "15.0 (rushwood)");
    writeParameterStatus(out, "server_encoding", "UTF8");
    writeParameterStatus(out, "client_encoding", "UTF8");
    writeParameterStatus(out, "integer_datetimes", "on");
    writeParameterStatus(out, "standard_conforming_strings", "on");
    writeBackendKeyData(out, cancelKey);
    writeReadyForQuery(out);
  }

  private static void writeAuthenticationOk(ByteBuf out) {
    int lengthIndex = beginMessage(out, BackendMessageType.AUTHENTICATION);
    out.writeInt(0);
    endMessage(out, lengthIndex);
  }

  private static void writeBackendKeyData(ByteBuf out, long cancelKey) {
    int lengthIndex = beginMessage(out, BackendMessageType.BACKEND_KEY_DATA);
    out.writeLong(cancelKey);
    endMessage(out, lengthIndex);
  }

  /** Writes the name and value of a server setting or of a status that a host reports. */
  public static void writeParameterStatus(ByteBuf out, String name, String value) {
    int lengthIndex = beginMessage(out, BackendMessageType.PARAMETER_STATUS);
    writeCString(out, name);
    writeCString(out, value);
    endMessage(out, lengthIndex);
  }

  /**
   * Writes the response to a startup message with an unsupported minor version: 3.0 is supported,
   * and no startup option is reported as unrecognized.
   */
  public static void writeNegotiateProtocolVersion(ByteBuf out) {
    int lengthIndex = beginMessage(out, BackendMessageType.NEGOTIATE_PROTOCOL_VERSION);
    out.writeInt(0);
    out.writeInt(0);
    endMessage(out, lengthIndex);
  }

  /** Writes an error. The Retry-After in milliseconds, if there is one, is the detail field. */
  public static void writeErrorResponse(ByteBuf out, ErrorResponse error) {
    int lengthIndex = beginMessage(out, BackendMessageType.ERROR_RESPONSE);
    writeErrorField(out, 'S', error.severity().name());
    writeErrorField(out, 'V', error.severity().name());
    writeErrorField(out, 'C', error.sqlState());
    writeErrorField(out, 'M', error.message());
    if (error.hasRetryAfter()) {
      writeErrorField(out, 'D', Long.toString(error.retryAfterMillis()));
    }
    out.writeByte(0);
    endMessage(out, lengthIndex);
  }

  /** Writes the description of rows whose columns are all of type text. */
  public static void writeRowDescription(ByteBuf out, String... columnNames) {
    int lengthIndex = beginMessage(out, BackendMessageType.ROW_DESCRIPTION);
    out.writeShort(columnNames.length);
    for (String name : columnNames) {
      writeCString(out, name);
      out.writeInt(0); // OID of the table: none
      out.writeShort(0); // number of the column in the table: none
      out.writeInt(TEXT_TYPE_OID);
      out.writeShort(-1); // size of the type: variable
      out.writeInt(-1); // type modifier: none
      out.writeShort(0); // format: text
    }
    endMessage(out, lengthIndex);
  }

  /** Writes a row of text values. */
  public static void writeDataRow(ByteBuf out, String... values) {
    int lengthIndex = beginMessage(out, BackendMessageType.DATA_ROW);
    out.writeShort(values.length);
    for (String value : values) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      out.writeInt(bytes.length).writeBytes(bytes);
    }
    endMessage(out, lengthIndex);
  }

  /** Writes the end of a result; the tag contains the command and the number of rows. */
  public static void writeCommandComplete(ByteBuf out, String tag) {
    int lengthIndex = beginMessage(out, BackendMessageType.COMMAND_COMPLETE);
    writeCString(out, tag);
    endMessage(out, lengthIndex);
  }

  /** Returns the first message on a connection to a host. */
  public static ByteBuf startupMessage(ByteBufAllocator allocator) {
    ByteBuf out = allocator.buffer(64);
    out.writeInt(0).writeInt(PROTOCOL_VERSION);
    writeCString(out, "user");
    writeCString(out, "client");
    writeCString(out, "database");
    writeCString(out, "core");
    out.writeByte(0);
    return out.setInt(0, out.writerIndex());
  }

  /** Returns a Query message with this statement. */
  public static ByteBuf queryMessage(ByteBufAllocator allocator, String statement) {
    ByteBuf out = allocator.buffer(statement.length() + 6);
    int lengthIndex = beginMessage(out, FrontendMessageType.QUERY);
    writeCString(out, statement);
    endMessage(out, lengthIndex);
    return out;
  }
}
