package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import rushwood.api.RequestClass;

/** Encodes and decodes messages for tests, and detects buffers that were not released. */
public final class TestMessages {
  public static final ByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;
  public static final List<RequestClass> REQUEST_CLASSES =
      List.of(
          new RequestClass(
              "pass",
              0,
              400_000_000,
              RequestClass.Idempotency.IDEMPOTENT,
              RequestClass.KeyScope.GLOBAL,
              0,
              false,
              RequestClass.Consistency.BOUNDED_STALENESS,
              500_000_000,
              0),
          new RequestClass(
              "pay",
              1,
              750_000_000,
              RequestClass.Idempotency.NON_IDEMPOTENT,
              RequestClass.KeyScope.GLOBAL,
              0,
              true,
              RequestClass.Consistency.EVENTUAL,
              0,
              0),
          new RequestClass(
              "mine",
              2,
              400_000_000,
              RequestClass.Idempotency.IDEMPOTENT,
              RequestClass.KeyScope.GLOBAL,
              0,
              false,
              RequestClass.Consistency.READ_YOUR_WRITES,
              0,
              0));

  private static final List<ByteBuf> ALLOCATED = new ArrayList<>();

  private TestMessages() {}

  /** Returns a buffer whose release {@link #assertAllReleased} checks. */
  public static ByteBuf buffer(byte[] bytes) {
    ByteBuf buffer = ALLOCATOR.buffer(bytes.length).writeBytes(bytes);
    ALLOCATED.add(buffer);
    return buffer;
  }

  /** Fails if a buffer created by {@link #buffer} since the last call was not released. */
  public static void assertAllReleased() {
    List<ByteBuf> allocated = List.copyOf(ALLOCATED);
    ALLOCATED.clear(); // before the check, so that a failure does not make later tests fail
    allocated.forEach(buffer -> assertEquals(0, buffer.refCnt(), "a buffer was not released"));
  }

  public static byte[] concat(byte[]... parts) {
    ByteBuf out = ALLOCATOR.heapBuffer();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return readAndRelease(out);
  }

  public static byte[] readAndRelease(ByteBuf in) {
    byte[] bytes = new byte[in.readableBytes()];
    in.readBytes(bytes);
    in.release();
    return bytes;
  }

  public static byte[] bytesWrittenBy(Consumer<ByteBuf> writer) {
    ByteBuf out = ALLOCATOR.heapBuffer();
    writer.accept(out);
    return readAndRelease(out);
  }

  public static byte[] message(char type, byte[] body) {
    return bytesWrittenBy(out -> out.writeByte(type).writeInt(4 + body.length).writeBytes(body));
  }

  public static byte[] query(String text) {
    return message('Q', (text + "\0").getBytes(StandardCharsets.UTF_8));
  }

  public static byte[] startup(int code, String payload) {
    return bytesWrittenBy(
        out ->
            out.writeInt(8 + payload.length())
                .writeInt(code)
                .writeCharSequence(payload, StandardCharsets.US_ASCII));
  }

  public static byte[] startup() {
    return startup(MessageWriter.PROTOCOL_VERSION, "user\0client\0database\0core\0\0");
  }

  public static byte[] startupResponse() {
    return bytesWrittenBy(out -> MessageWriter.writeStartupResponse(out, 0));
  }

  public static byte[] readyForQuery() {
    return bytesWrittenBy(MessageWriter::writeReadyForQuery);
  }

  public static byte[] parameterStatus(String name, String value) {
    return message('S', (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8));
  }

  public static byte[] errorResponse(String sqlState) {
    return bytesWrittenBy(
        out -> MessageWriter.writeErrorResponse(out, ErrorResponse.error(sqlState, "no")));
  }

  /** Returns the messages of a row with one column, without ReadyForQuery. */
  public static byte[] rowResponse(String value) {
    return bytesWrittenBy(
        out -> {
          MessageWriter.writeRowDescription(out, "val");
          MessageWriter.writeDataRow(out, value);
          MessageWriter.writeCommandComplete(out, "SELECT 1");
        });
  }

  /** Returns a read whose comment contains further fields, each of which starts with a comma. */
  public static String readStatement(String id, String furtherFields) {
    return "SELECT val FROM state WHERE uid = 'k1' /* id="
        + id
        + ",c=pass,t=acme,cluster=2"
        + furtherFields
        + " */";
  }

  /** Returns a write whose comment contains further fields, each of which starts with a comma. */
  public static String writeStatement(String id, String furtherFields) {
    return "INSERT INTO state (uid, val) VALUES ('k1', '\\x9f03') RETURNING val /* id="
        + id
        + ",c=pay,t=acme,cluster=2"
        + furtherFields
        + " */";
  }

  /** Parses a statement, which the caller must release. */
  static SqlStatement parse(String text) throws ProtocolException {
    ByteBuf buffer = buffer(text.getBytes(StandardCharsets.UTF_8));
    try {
      return SqlStatementParser.parse(buffer, REQUEST_CLASSES);
    } finally {
      buffer.release();
    }
  }

  /** Returns the types of complete messages, with the SQLSTATE of errors: "T D C E(53300) Z". */
  public static String messageTypes(byte[] bytes) {
    StringBuilder types = new StringBuilder();
    int offset = 0;
    while (offset < bytes.length) {
      char type = (char) bytes[offset];
      types.append(types.length() == 0 ? "" : " ").append(type);
      int length = ByteBuffer.wrap(bytes).getInt(offset + 1);
      if (type == 'E') {
        String body = new String(bytes, offset + 5, length - 4, StandardCharsets.UTF_8);
        types.append('(').append(body, body.indexOf("\0C") + 2, body.indexOf("\0M")).append(')');
      }
      offset += 1 + length;
    }
    return types.toString();
  }

  /**
   * Runs the test with the bytes in one buffer, in single bytes, and split in two at each index.
   */
  public static void forEachFragmentation(byte[] bytes, Consumer<List<ByteBuf>> test) {
    test.accept(List.of(buffer(bytes)));
    List<ByteBuf> singleBytes = new ArrayList<>();
    for (byte value : bytes) {
      singleBytes.add(buffer(new byte[] {value}));
    }
    test.accept(singleBytes);
    for (int splitIndex = 1; splitIndex < bytes.length; splitIndex++) {
      test.accept(
          List.of(
              buffer(Arrays.copyOf(bytes, splitIndex)),
              buffer(Arrays.copyOfRange(bytes, splitIndex, bytes.length))));
    }
  }
}
