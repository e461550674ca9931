import java.io.DataInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Messages of PostgreSQL's protocol 3. */
final class PgWire {
  /** A message; the type is 0 for a startup message. */
  static final class Message {
    final int type;
    final byte[] body;
    final long firstByteAt;

    Message(int type, byte[] body, long firstByteAt) {
      this.type = type;
      this.body = body;
      this.firstByteAt = firstByteAt;
    }

    /** The body without its last zero. */
    String text() {
      int length = body.length > 0 && body[body.length - 1] == 0 ? body.length - 1 : body.length;
      return new String(body, 0, length, StandardCharsets.UTF_8);
    }
  }

  private PgWire() {}

  static Message read(DataInputStream in, boolean hasType) throws IOException {
    int type = hasType ? in.readUnsignedByte() : 0;
    long firstByteAt = System.currentTimeMillis();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message(type, body, firstByteAt);
  }

  static byte[] message(char type, byte[] body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      if (type != 0) {
        out.writeByte(type);
      }
      out.writeInt(4 + body.length);
      out.write(body);
    } catch (IOException impossible) {
      throw new AssertionError(impossible);
    }
    return bytes.toByteArray();
  }

  static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static byte[] startup(String user, String database) {
    return message(
        (char) 0,
        join(new byte[] {0, 3, 0, 0}, utf8("user\0" + user + "\0database\0" + database + "\0\0")));
  }

  static byte[] query(String sql) {
    return message('Q', utf8(sql + "\0"));
  }

  static byte[] ready() {
    return message('Z', new byte[] {'I'});
  }

  static byte[] startupAnswer() {
    return join(message('R', new byte[4]), ready());
  }

  static byte[] parameter(String name, String value) {
    return message('S', utf8(name + "\0" + value + "\0"));
  }

  static byte[] error(String code, String text) {
    return message('E', utf8("SERROR\0C" + code + "\0M" + text + "\0\0"));
  }

  static byte[] row(byte[] value, String tag) {
    byte[] description =
        join(
            new byte[] {0, 1},
            utf8("val\0"),
            new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1});
    byte[] data =
        join(
            new byte[] {0, 1},
            ByteBuffer.allocate(4).putInt(value.length).array(),
            value);
    return join(message('T', description), message('D', data), message('C', utf8(tag + "\0")));
  }

  static byte[] join(byte[]... parts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }
}
