package rushwood.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The bytes of one {@link Message}, 256 at most as the platform allows: version, kind, the sender's
 * incarnation, the number, the target, the count of words, the words, and a CRC-32 of all before
 * it. What does not add up whole is refused whole: a datagram is never partly trusted.
 */
public final class DatagramCodec {
  /** The platform voids a run for a longer one. */
  public static final int MAX_BYTES = 256;

  static final byte VERSION = 1;
  static final int HEADER_BYTES = 1 + 1 + 8 + 4 + 6 + 1;
  static final int UPDATE_BYTES = 6 + 1 + 8 + 6;
  static final int CHECKSUM_BYTES = 4;
  private static final MemberState[] STATES = MemberState.values();
  private static final PeerMessage.Kind[] KINDS = PeerMessage.Kind.values();

  static {
    if (HEADER_BYTES + Membership.MAX_UPDATES_PER_DATAGRAM * UPDATE_BYTES + CHECKSUM_BYTES
        > MAX_BYTES) {
      throw new ExceptionInInitializerError(
          "a datagram with the most words would not fit in " + MAX_BYTES);
    }
  }

  private DatagramCodec() {}

  public static byte[] encode(PeerMessage message) {
    if (message.updates().size() > Membership.MAX_UPDATES_PER_DATAGRAM) {
      throw new IllegalArgumentException(
          message.updates().size() + " words, " + Membership.MAX_UPDATES_PER_DATAGRAM + " at most");
    }
    ByteBuffer out =
        ByteBuffer.allocate(
            HEADER_BYTES + message.updates().size() * UPDATE_BYTES + CHECKSUM_BYTES);
    out.put(VERSION)
        .put((byte) message.kind().ordinal())
        .putLong(message.incarnation())
        .putInt(message.sequenceNumber());
    writeMember(out, message.target());
    out.put((byte) message.updates().size());
    for (MembershipUpdate update : message.updates()) {
      writeMember(out, update.member());
      out.put((byte) update.state().ordinal()).putLong(update.incarnation());
      writeMember(out, update.origin());
    }
    out.putInt(crc(out.array(), out.position()));
    return out.array();
  }

  /**
   * The message, or null where anything of it is wrong: length, version, kind, count, a state, the
   * check.
   */
  public static PeerMessage decode(byte[] bytes, int length) {
    if (length < HEADER_BYTES + CHECKSUM_BYTES || length > MAX_BYTES || length > bytes.length) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
    int count = bytes[HEADER_BYTES - 1] & 0xff;
    if (count > Membership.MAX_UPDATES_PER_DATAGRAM
        || length != HEADER_BYTES + count * UPDATE_BYTES + CHECKSUM_BYTES
        || in.getInt(length - CHECKSUM_BYTES) != crc(bytes, length - CHECKSUM_BYTES)) {
      return null;
    }
    if (in.get() != VERSION) {
      return null;
    }
    int kind = in.get() & 0xff;
    if (kind >= KINDS.length) {
      return null;
    }
    long incarnation = in.getLong();
    int sequenceNumber = in.getInt();
    MemberId target = readMember(in);
    in.get();
    List<MembershipUpdate> updates = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      MemberId member = readMember(in);
      int state = in.get() & 0xff;
      if (state >= STATES.length) {
        return null;
      }
      updates.add(new MembershipUpdate(member, STATES[state], in.getLong(), readMember(in)));
    }
    return new PeerMessage(KINDS[kind], incarnation, sequenceNumber, target, updates);
  }

  private static void writeMember(ByteBuffer out, MemberId id) {
    out.putInt(id.address()).putShort((short) id.port());
  }

  private static MemberId readMember(ByteBuffer in) {
    return new MemberId(in.getInt(), in.getShort() & 0xffff);
  }

  private static int crc(byte[] bytes, int length) {
    CRC32 crc = new CRC32();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }
}
